// Package leader does the work that one instance does for all: it orders replicas
// to load new weights and frees what stores hold in vain. The membership of a
// group of the platform's log says who holds the duty.
package leader

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/go-kit/log"

	"crocusfold.dev/core/lease"
	"crocusfold.dev/core/reload"
	"crocusfold.dev/entry/adapter"
	"crocusfold.dev/entry/edgeconfig"
	"crocusfold.dev/entry/message"
	"crocusfold.dev/entry/replicas"
	"crocusfold.dev/entry/topics"
	"crocusfold.dev/shell/clock"
)

// Times of a duty.
const (
	// memberTTL is how long a member that sends nothing keeps its duties.
	memberTTL = 1200 * time.Millisecond
	// renewInterval is the pause between two renewals.
	renewInterval = 250 * time.Millisecond
	// stepInterval is the pause between two looks at what there is to do.
	stepInterval = 50 * time.Millisecond
	// idleInterval is that pause while another instance holds the duty.
	idleInterval = 500 * time.Millisecond
	// reportInterval is the pause between two questions whether weights are loaded.
	reportInterval = 80 * time.Millisecond
	// loadTimeout is how long the loading of weights is watched.
	loadTimeout = 2500 * time.Millisecond
	// freeDelay is the time from the last use of weights until what stores hold
	// of them is freed. It is longer than any fetch.
	freeDelay = 1800 * time.Millisecond
	// freeDelayAfterStop is that time if all instances have told that they do not
	// fetch it any more, after fetches that were bounded more closely.
	freeDelayAfterStop = 800 * time.Millisecond
	// cleanInterval is the pause between two looks at the stores.
	cleanInterval = 250 * time.Millisecond
)

// Leader is safe for concurrent use. The exported fields must be set before Run.
type Leader struct {
	Name     string
	Bounds   *edgeconfig.LiveBounds
	Log      adapter.Log
	Control  adapter.Control
	Topics   *topics.Topics
	Replicas *replicas.Replicas
	Now      func() time.Time
	Logger   log.Logger
	// NotifyPeers tells peers at once what changed.
	NotifyPeers func()
	// PeersOldestFetched returns the oldest weight version of a model whose context a
	// peer may still fetch; ok is false if that is not known of all.
	PeersOldestFetched func(model string) (oldest int, ok bool)
	// Rank returns the place of this instance among the candidates for the duty.
	Rank func(now time.Time) (rank int, most bool)

	mu        sync.Mutex
	lease     lease.Lease
	candidacy lease.Candidacy
	member    bool
	// resigned is true once the instance is about to end.
	resigned bool
	// renewalFailing is true while renewals get no answer.
	renewalFailing bool
	// renewedAt is when the last renewal that was answered was sent.
	renewedAt time.Time
	// peerCommands has the replicas that another holder ordered, and when that was last
	// heard.
	peerCommands map[string]time.Time
	reloads      map[string]*reload.Reload
	usable       map[string]usableVersion
}

// DrainedReplicas returns the replicas that this instance keeps new work from until they
// hold a weight version, and those of them that it has ordered.
func (l *Leader) DrainedReplicas() (drained []message.ReplicaVersion, loading []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.lease.Held(l.Now()) {
		return nil, nil
	}
	for model, r := range l.reloads {
		for _, id := range r.Drained() {
			drained = append(drained, message.ReplicaVersion{Replica: id, Model: model, Version: r.Target()})
		}
		loading = append(loading, r.Loading()...)
	}
	slices.SortFunc(drained, func(a, b message.ReplicaVersion) int { return strings.Compare(a.Replica, b.Replica) })
	slices.Sort(loading)
	return drained, loading
}

// Run renews the membership and does the duty while it is this instance's.
func (l *Leader) Run(ctx context.Context) {
	l.mu.Lock()
	// Where replicas check fencing tokens, only those wait that the holder before
	// took out of use; it told its peers before it ordered them.
	if !l.Bounds.Bounds().Fenced {
		l.lease.QuietPeriod = l.Bounds.Bounds().Lease
	}
	l.reloads = map[string]*reload.Reload{}
	l.usable = map[string]usableVersion{}
	l.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(func() { clock.Every(ctx, renewInterval, func() { l.renew(ctx) }) })
	wg.Go(func() { l.runTasks(ctx) })
	wg.Wait()
}

// runTasks does the duty while it is held, and looks seldom while it is not.
func (l *Leader) runTasks(ctx context.Context) {
	var cleanedAt time.Time
	for ctx.Err() == nil {
		l.stepReloads(ctx)
		now := l.Now()
		if now.Sub(cleanedAt) >= cleanInterval {
			l.cleanStores(ctx)
			cleanedAt = now
		}
		pause := idleInterval
		if l.IsLeader(now) {
			pause = stepInterval
		}
		clock.Pause(ctx, pause)
	}
}

// Resign gives the duty up for good, since the instance is about to end.
func (l *Leader) Resign(ctx context.Context) {
	l.mu.Lock()
	l.resigned = true
	l.mu.Unlock()
	l.leaveGroup(ctx)
}

// leaveGroup gives the membership up.
func (l *Leader) leaveGroup(ctx context.Context) {
	l.mu.Lock()
	member := l.member
	l.member = false
	l.lease.Release()
	l.mu.Unlock()
	if !member {
		return
	}
	if err := l.Log.Leave(ctx, l.Name); err != nil {
		_ = l.Logger.Log("msg", "The membership could not be given up; it lapses.", "err", err)
	}
}

// IsLeader reports whether this instance holds the duty.
func (l *Leader) IsLeader(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lease.Held(now)
}

// RecordPeerLeader notes that a peer held the duty at a moment and has ordered
// replicas.
func (l *Leader) RecordPeerLeader(at time.Time, loading []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.candidacy.ObserveLeader(at)
	for id, last := range l.peerCommands {
		if at.Sub(last) > 2*l.Bounds.Bounds().Lease {
			delete(l.peerCommands, id)
		}
	}
	for _, id := range loading {
		// A peer may be heard before Run.
		if l.peerCommands == nil {
			l.peerCommands = map[string]time.Time{}
		}
		l.peerCommands[id] = at
	}
}

// PeerLeaderAge returns how long ago another instance was known to hold the duty.
func (l *Leader) PeerLeaderAge(now time.Time) (age time.Duration, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.candidacy.LeaderAge(now)
}

// RecordPeerStepDown notes that the holder told that it holds the duty no more.
func (l *Leader) RecordPeerStepDown(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.candidacy.LeaderReleased(now)
}

// renew keeps the membership up, asks for one if nobody holds the duty, and
// gives it up if another instance does.
func (l *Leader) renew(ctx context.Context) {
	now := l.Now()
	rank, connected := l.Rank(now)
	l.mu.Lock()
	if connected {
		l.candidacy.MarkConnected()
	} else {
		l.candidacy.MarkIsolated(now)
	}
	held, elsewhere := l.lease.Held(now), l.candidacy.LeaderElsewhere(now)
	if now.Sub(l.renewedAt) > memberTTL {
		// The membership has lapsed: joining again would move the duty from the
		// instance that has taken it over.
		l.member = false
	}
	member := l.member
	apply := l.candidacy.ShouldApply(now, rank) && !l.resigned
	l.mu.Unlock()
	switch {
	case member && !held && elsewhere:
		l.leaveGroup(ctx)
	case member || apply:
		if !member {
			_ = l.Logger.Log("msg", "Asked for the duty.", "rank", rank, "hears-most", connected, "held-before", held)
		}
		l.joinGroup(ctx)
	}
}

func (l *Leader) joinGroup(ctx context.Context) {
	l.mu.Lock()
	generation := l.lease.Generation()
	held := l.lease.Held(l.Now())
	l.mu.Unlock()
	ttl := max(memberTTL, l.Bounds.Bounds().MinMemberTTL)
	sent := l.Now()
	grant, err := l.Log.Join(ctx, l.Name, ttl, generation)
	l.mu.Lock()
	defer l.mu.Unlock()
	if (err != nil) != l.renewalFailing {
		l.renewalFailing = err != nil
		_ = l.Logger.Log("msg", "The renewal of the membership changed.", "fails", l.renewalFailing, "err", err)
	}
	if err != nil {
		return
	}
	l.member, l.renewedAt = true, sent
	l.lease.Renew(sent, ttl, grant)
	if now := l.lease.Held(l.Now()); now != held {
		_ = l.Logger.Log("msg", "The holder of the duty changed.", "held", now, "generation", grant.Generation)
	}
}
