// Package explain remembers how recent requests were decided.
package explain

import (
	"sync"
	"time"

	"crocusfold.dev/core/placement"
)

// kept is the number of requests that are remembered.
const kept = 2000

// Explanation tells what was weighed for one request and what came of it.
type Explanation struct {
	Request  string    `json:"request"`
	Instance string    `json:"instance"`
	At       time.Time `json:"at"`
	Account  string    `json:"account"`
	Work     string    `json:"work"`
	// Offset is that of the configuration the request was decided on.
	Offset   uint64    `json:"offset"`
	Attempts []Attempt `json:"attempts"`
	Outcome  string    `json:"outcome"`
	Run      string    `json:"run"`
	// FirstToken is the time to the first token; 0 if there was none.
	FirstToken time.Duration `json:"first-token"`
}

// Attempt is one try at an upstream.
type Attempt struct {
	Choices []placement.Choice `json:"choices"`
	Chosen  string             `json:"chosen"`
	Result  string             `json:"result"`
}

// Book holds the latest explanations. The zero value is empty. It is safe for
// concurrent use.
type Book struct {
	mu    sync.Mutex
	byID  map[string]Explanation
	order []string
}

// Put adds or replaces an explanation.
func (b *Book) Put(e Explanation) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.byID == nil {
		b.byID = map[string]Explanation{}
	}
	if _, ok := b.byID[e.Request]; !ok {
		b.order = append(b.order, e.Request)
	}
	b.byID[e.Request] = e
	for len(b.order) > kept {
		delete(b.byID, b.order[0])
		b.order = b.order[1:]
	}
}

// Get returns the explanation of a request.
func (b *Book) Get(id string) (Explanation, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e, ok := b.byID[id]
	return e, ok
}
