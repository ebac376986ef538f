// Package explain records how recent requests were routed, for the operators.
package explain

import (
	"sync"
	"time"

	"crocusfold.dev/core/placement"
)

// maxExplanations is the number of requests whose explanations a History holds.
const maxExplanations = 2000

// Explanation describes the attempts of one request and its outcome.
type Explanation struct {
	RequestID string `json:"request"`
	// Instance is the name of the instance that served the request.
	Instance string `json:"instance"`
	// Start is when the request was received.
	Start    time.Time `json:"at"`
	Account  string    `json:"account"`
	Workload string    `json:"work"`
	// Offset is the offset of the configuration in force when the request started.
	Offset uint64 `json:"offset"`
	// Session is what the context is hashed by, and Store the name of its affinity store;
	// both are empty unless the request is a chat completion.
	Session  string    `json:"session,omitempty"`
	Store    string    `json:"store,omitempty"`
	Attempts []Attempt `json:"attempts"`
	// Outcome is "ok", "caller-left" or an error code.
	Outcome string `json:"outcome"`
	// RunState says whether an upstream ran the request; see attempt.RunState.
	RunState string `json:"run"`
	// TimeToFirstToken is 0 if no token was received.
	TimeToFirstToken time.Duration `json:"first-token"`
}

// Attempt is one attempt to send a request to an upstream.
type Attempt struct {
	// Choices are the ranked upstreams, best first. They are recorded only for chat
	// completions.
	Choices []placement.Choice `json:"choices"`
	// Chosen is the upstream that the request was sent to; empty if none had capacity.
	Chosen string `json:"chosen"`
	// Result describes the result, and why better upstreams were not chosen.
	Result string `json:"result"`
}

// History holds the explanations of the latest requests. The zero value is empty. It is
// safe for concurrent use.
type History struct {
	mu   sync.Mutex
	byID map[string]Explanation
	// ids lists the request ids in the order in which they were added.
	ids []string
}

// Put adds the explanation of a request, or replaces an earlier one with its id. The
// oldest one is dropped if there are more than maxExplanations.
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

// Get returns the explanation of a request, and false if there is none.
func (h *History) Get(id string) (Explanation, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	e, ok := h.byID[id]
	return e, ok
}
