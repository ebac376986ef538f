package relay

import (
	"sync"
	"time"

	"github.com/go-kit/log"

	"crocusfold.dev/core/suspect"
	"crocusfold.dev/entry/message"
)

// Crashes finds requests that take down each replica that runs them, together
// with the other instances. The zero value knows none. It is safe for
// concurrent use. The exported fields must be set before use.
type Crashes struct {
	Logger  log.Logger
	Metrics *Metrics

	mu     sync.Mutex
	deaths suspect.Deaths
}

// Hear takes the counts of another instance.
func (cr *Crashes) Hear(now time.Time, counts []message.ContentDeaths) {
	cr.mu.Lock()
	defer cr.mu.Unlock()
	for _, c := range counts {
		if cr.deaths.Hear(now, c.Content, c.Deaths) {
			cr.Metrics.ends.told.Inc(1)
			_ = cr.Logger.Log("msg", "A peer counted more ends of replicas against a request.", "content", c.Content, "ends", c.Deaths)
		}
	}
}

// Tell returns the counts for other instances.
func (cr *Crashes) Tell(now time.Time) []message.ContentDeaths {
	cr.mu.Lock()
	defer cr.mu.Unlock()
	var out []message.ContentDeaths
	for c, n := range cr.deaths.Told(now) {
		out = append(out, message.ContentDeaths{Content: c, Deaths: n})
	}
	return out
}

func (cr *Crashes) broke(now time.Time, c suspect.Content) int {
	cr.mu.Lock()
	defer cr.mu.Unlock()
	cr.Metrics.ends.seen.Inc(1)
	return cr.deaths.Broke(now, c)
}

func (cr *Crashes) answered(c suspect.Content) {
	cr.mu.Lock()
	defer cr.mu.Unlock()
	cr.deaths.Answered(c)
}

func (cr *Crashes) barred(now time.Time, c suspect.Content) bool {
	cr.mu.Lock()
	defer cr.mu.Unlock()
	return cr.deaths.Barred(now, c)
}

// content identifies what the request asks for, whoever sends it under whatever
// id. Requests without a body can't be told apart, so they have none.
func (c *call) content() (suspect.Content, bool) {
	if len(c.body) == 0 {
		return suspect.Content{}, false
	}
	text := append([]byte(c.account.Name+"\x00"+c.r.RequestURI+"\x00"), c.body...)
	return suspect.NewContent(text), true
}

// broke counts the request as one that ran when a replica broke off.
func (c *call) broke(now time.Time, replica string) {
	id, ok := c.content()
	if !ok {
		return
	}
	n := c.relay.Crashes.broke(now, id)
	_ = c.relay.Logger.Log("id", c.ask.ID, "msg", "Counted an end of a replica against a request.", "replica", replica, "content", id, "ends", n)
}
