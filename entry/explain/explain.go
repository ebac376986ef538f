// Package explain remembers how recent requests were decided.
package explain

import (
	"sync"
	"time"

	"crocusfold.dev/core/placement"
)

// maxExplanations is the number of requests that are remembered.
const maxExplanations = 2000

// Explanation tells what was weighed for one request and what came of it.
type Explanation struct {
	RequestID string    `json:"request"`
	Instance  string    `json:"instance"`
	Start     time.Time `json:"at"`
	Account   string    `json:"account"`
	Workload  string    `json:"work"`
	// Offset is that of the configuration the request was decided on.
	Offset   uint64    `json:"offset"`
	Attempts []Attempt `json:"attempts"`
	Outcome  string    `json:"outcome"`
	RunState string    `json:"run"`
	// TimeToFirstToken is the time to the first token; 0 if there was none.
	TimeToFirstToken time.Duration `json:"first-token"`
}

// Attempt is one try at an upstream.
type Attempt struct {
	Choices []placement.Choice `json:"choices"`
	Chosen  string             `json:"chosen"`
	Result  string             `json:"result"`
}

// History holds the latest explanations. The zero value is empty. It is safe for
// concurrent use.
type History struct {
	mu   sync.Mutex
	byID map[string]Explanation
	ids  []string
}

// Put adds or replaces an explanation.
func (h *History) Put(e Explanation) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.byID == nil {
		h.byID = map[string]Explanation{}
	}
	if _, ok := h.byID[e.RequestID]; !ok {
		h.ids = append(h.ids, e.RequestID)
	}
	h.byID[e.RequestID] = e
	for len(h.ids) > maxExplanations {
		delete(h.byID, h.ids[0])
		h.ids = h.ids[1:]
	}
}

// Get returns the explanation of a request.
func (h *History) Get(id string) (Explanation, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	e, ok := h.byID[id]
	return e, ok
}
