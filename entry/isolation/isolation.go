// Package isolation shares among all instances which requests crash upstreams, and lets
// only one copy of a suspected request run at a time.
package isolation

import (
	"context"
	"encoding/hex"
	"sync"
	"time"

	"crocusfold.dev/core/quarantine"
	"crocusfold.dev/core/roster"
	"crocusfold.dev/entry/configsync"
	"crocusfold.dev/entry/message"
	"crocusfold.dev/entry/peerrpc"
)

const (
	callTimeout = 200 * time.Millisecond
	// lockTTL is how long a lock lasts if its holder does not release it.
	lockTTL = time.Minute
	// maxLocks bounds the locks that an instance keeps as the owner of fingerprints. At
	// the bound, further locks are refused.
	maxLocks = 10_000
)

// Isolation holds this instance's copy of the suspected and banned fingerprints, and
// the locks of the fingerprints that it owns. The exported fields must be set before
// Attach. It is safe for concurrent use.
type Isolation struct {
	Self     roster.Member
	Follower *configsync.Follower
	Endpoint *peerrpc.Endpoint

	mu         sync.Mutex
	quarantine quarantine.Quarantine
	locks      map[quarantine.Fingerprint]lock
}

// lock allows one request to run while its fingerprint is suspected.
type lock struct {
	// id is the request's id.
	id      string
	expires time.Time
}

// Attach registers the handler for messages of peers.
func (i *Isolation) Attach() { i.Endpoint.Handle(i.handle) }

// Status returns whether requests with a fingerprint are clean, suspected or banned.
func (i *Isolation) Status(now time.Time, fp quarantine.Fingerprint) quarantine.Status {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.quarantine.Status(now, fp)
}

// Report applies an outcome here and sends it to all peers. It returns once they have
// responded, after callTimeout at the latest: peers should have the outcome before the
// caller gets a response and can send the same request through another instance.
func (i *Isolation) Report(ctx context.Context, o quarantine.Outcome) {
	now := time.Now()
	i.apply(now, []quarantine.Outcome{o})
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, m := range i.Follower.Live(now) {
		if m.Name == i.Self.Name {
			continue
		}
		wg.Go(func() { _, _ = i.Endpoint.Call(ctx, m, message.CrashOutcomes{Outcomes: []quarantine.Outcome{o}}) })
	}
	wg.Wait()
}

// ownerKey returns what the owner of a fingerprint is hashed by.
func ownerKey(fp quarantine.Fingerprint) string { return "content/" + hex.EncodeToString(fp[:]) }

// Lock obtains, from the owner of a suspected fingerprint, the lock that allows only
// the request with this id to run. It returns the function that releases the lock, or
// false if another request holds it or no owner responded.
func (i *Isolation) Lock(ctx context.Context, fp quarantine.Fingerprint, id string) (func(), bool) {
	owner, ok := roster.Owner(ownerKey(fp), i.Follower.Live(time.Now()))
	if !ok {
		return nil, false
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	resp, err := peerrpc.Call[message.PermitResponse](callCtx, i.Endpoint, owner, message.FingerprintLock{Fingerprint: fp, ID: id})
	if err != nil || !resp.Granted {
		return nil, false
	}
	return func() {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		defer cancel()
		_, _ = i.Endpoint.Call(ctx, owner, message.FingerprintLock{Fingerprint: fp, ID: id, Release: true})
	}, true
}

func (i *Isolation) apply(now time.Time, outcomes []quarantine.Outcome) {
	i.mu.Lock()
	defer i.mu.Unlock()
	for _, o := range outcomes {
		i.quarantine.Apply(now, o)
	}
}

func (i *Isolation) handle(_ context.Context, _ string, msg message.Message) (message.Message, bool, error) {
	now := time.Now()
	switch m := msg.(type) {
	case message.CrashOutcomes:
		i.apply(now, m.Outcomes)
		return message.Ack{}, true, nil
	case message.BansRequest:
		return i.bansFor(now, m), true, nil
	case message.FingerprintLock:
		return message.PermitResponse{Granted: i.setLock(now, m)}, true, nil
	default:
		return nil, false, nil
	}
}

// setLock acquires, renews or releases a lock, as the owner of its fingerprint. It
// returns false if another request holds the lock or maxLocks are held.
func (i *Isolation) setLock(now time.Time, m message.FingerprintLock) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.locks == nil {
		i.locks = map[quarantine.Fingerprint]lock{}
	}
	held, taken := i.locks[m.Fingerprint]
	taken = taken && now.Before(held.expires)
	if m.Release {
		if held.id == m.ID {
			delete(i.locks, m.Fingerprint)
		}
		return true
	}
	if taken && held.id != m.ID {
		return false
	}
	if len(i.locks) >= maxLocks {
		i.evictExpiredLocks(now)
	}
	if len(i.locks) >= maxLocks {
		return false
	}
	i.locks[m.Fingerprint] = lock{m.ID, now.Add(lockTTL)}
	return true
}

func (i *Isolation) evictExpiredLocks(now time.Time) {
	for fp, l := range i.locks {
		if !now.Before(l.expires) {
			delete(i.locks, fp)
		}
	}
}
