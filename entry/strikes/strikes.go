// Package strikes shares which requests crash upstreams, and lets only one
// instance at a time run a suspect.
package strikes

import (
	"context"
	"fmt"
	"sync"
	"time"

	"crocusfold.dev/core/quarantine"
	"crocusfold.dev/core/roster"
	"crocusfold.dev/entry/configsync"
	"crocusfold.dev/entry/message"
	"crocusfold.dev/entry/peerrpc"
)

const (
	callLimit = 200 * time.Millisecond
	// lockTime is how long a lock lasts if its holder is never heard again.
	lockTime = time.Minute
	// maxLocks bounds the locks that an owner holds.
	maxLocks = 10_000
)

// Strikes holds the shared list. The exported fields must be set before Attach.
// It is safe for concurrent use.
type Strikes struct {
	Self   roster.Member
	Follow *configsync.Follower
	Mesh   *peerrpc.Endpoint

	mu    sync.Mutex
	list  quarantine.Quarantine
	locks map[quarantine.Fingerprint]lock
}

type lock struct {
	id    string
	until time.Time
}

// Attach prepares the list to answer peers.
func (s *Strikes) Attach() { s.Mesh.Handle(s.handle) }

// Standing returns how a content may be run now.
func (s *Strikes) Standing(now time.Time, c quarantine.Fingerprint) quarantine.Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.list.Status(now, c)
}

// Report applies a strike here and tells all peers, before the caller gets an
// answer and can send the content again through another instance.
func (s *Strikes) Report(ctx context.Context, st quarantine.Outcome) {
	now := time.Now()
	s.apply(now, []quarantine.Outcome{st})
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	var wg sync.WaitGroup
	for _, m := range s.Follow.Live(now) {
		if m.Name == s.Self.Name {
			continue
		}
		wg.Go(func() { _, _ = s.Mesh.Call(ctx, m, message.CrashOutcomes{Outcomes: []quarantine.Outcome{st}}) })
	}
	wg.Wait()
}

// Lock makes this instance the only one that runs a suspected content.
func (s *Strikes) Lock(ctx context.Context, c quarantine.Fingerprint, id string) (func(), bool) {
	owner, ok := roster.Owner(fmt.Sprintf("content/%x", c), s.Follow.Live(time.Now()))
	if !ok {
		return nil, false
	}
	callCtx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	rep, err := peerrpc.Call[message.PermitResponse](callCtx, s.Mesh, owner, message.FingerprintLock{Fingerprint: c, ID: id})
	if err != nil || !rep.Granted {
		return nil, false
	}
	return func() {
		ctx, cancel := context.WithTimeout(context.Background(), callLimit)
		defer cancel()
		_, _ = s.Mesh.Call(ctx, owner, message.FingerprintLock{Fingerprint: c, ID: id, Release: true})
	}, true
}

func (s *Strikes) apply(now time.Time, all []quarantine.Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, st := range all {
		s.list.Apply(now, st)
	}
}

func (s *Strikes) handle(_ context.Context, _ string, msg message.Message) (message.Message, bool, error) {
	now := time.Now()
	switch m := msg.(type) {
	case message.CrashOutcomes:
		s.apply(now, m.Outcomes)
		return message.Ack{}, true, nil
	case message.BansRequest:
		return s.convictions(now, m), true, nil
	case message.FingerprintLock:
		return message.PermitResponse{Granted: s.lockContent(now, m)}, true, nil
	default:
		return nil, false, nil
	}
}

func (s *Strikes) lockContent(now time.Time, m message.FingerprintLock) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.locks == nil {
		s.locks = map[quarantine.Fingerprint]lock{}
	}
	held, taken := s.locks[m.Fingerprint]
	taken = taken && now.Before(held.until)
	if m.Release {
		if held.id == m.ID {
			delete(s.locks, m.Fingerprint)
		}
		return true
	}
	if taken && held.id != m.ID {
		return false
	}
	if len(s.locks) >= maxLocks {
		s.dropExpired(now)
	}
	if len(s.locks) >= maxLocks {
		return false
	}
	s.locks[m.Fingerprint] = lock{m.ID, now.Add(lockTime)}
	return true
}

func (s *Strikes) dropExpired(now time.Time) {
	for c, l := range s.locks {
		if !now.Before(l.until) {
			delete(s.locks, c)
		}
	}
}
