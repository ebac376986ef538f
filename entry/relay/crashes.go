package relay

import (
	"sync"
	"time"

	"crocusfold.dev/core/suspect"
	"crocusfold.dev/entry/message"
)

// Crashes finds requests that take down each replica that runs them, together
// with the other instances. The zero value knows none. It is safe for
// concurrent use.
type Crashes struct {
	mu     sync.Mutex
	deaths suspect.Deaths
}

// Hear takes the counts of another instance.
func (cr *Crashes) Hear(now time.Time, counts []message.ContentDeaths) {
	cr.mu.Lock()
	defer cr.mu.Unlock()
	for _, c := range counts {
		cr.deaths.Hear(now, c.Content, c.Deaths)
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

func (cr *Crashes) broke(now time.Time, c suspect.Content) {
	cr.mu.Lock()
	defer cr.mu.Unlock()
	cr.deaths.Broke(now, c)
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
func (c *call) broke(now time.Time) {
	if id, ok := c.content(); ok {
		c.relay.Crashes.broke(now, id)
	}
}
