// Package leader runs the tasks that one elected instance does for all: it commands
// replicas to load new weights, and frees context in the stores that is no longer
// used. The leader is elected through the membership of a group in the platform's log.
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
	"crocusfold.dev/entry/replicalimits"
	"crocusfold.dev/entry/replicas"
	"crocusfold.dev/entry/topics"
	"crocusfold.dev/shell/clock"
)

// Times of the election and the leader's tasks.
const (
	// memberTTL is how long a membership lasts without renewal, unless the platform's
	// minimum is longer.
	memberTTL = 1200 * time.Millisecond
	// renewInterval is the interval between renewals of the membership.
	renewInterval = 250 * time.Millisecond
	// stepInterval is the pause between two runs of the tasks on the leader.
	stepInterval = 50 * time.Millisecond
	// idleInterval is that pause on the other instances.
	idleInterval = 500 * time.Millisecond
	// reportInterval is the pause between two requests for the state of a replica that
	// loads weights.
	reportInterval = 80 * time.Millisecond
	// maxReportInterval bounds that pause for a replica that states a limit.
	maxReportInterval = time.Second
	// loadTimeout is how long a replica that loads weights is polled.
	loadTimeout = 2500 * time.Millisecond
	// freeDelay is the time from the last use of weights until their context is freed
	// in the stores. It is longer than any fetch.
	freeDelay = 1800 * time.Millisecond
	// freeDelayAfterStop replaces freeDelay if all instances have reported that they
	// no longer fetch the context. It may be shorter, since fetches of context of old
	// weights have a shorter timeout.
	freeDelayAfterStop = 800 * time.Millisecond
	// cleanInterval is the least time between two cleanups of the stores.
	cleanInterval = 250 * time.Millisecond
)

// Leader takes part in the election of the leader, and runs the leader's tasks while
// this instance is elected. It is safe for concurrent use. The exported fields must be
// set before Run.
type Leader struct {
	Name     string
	Bounds   *edgeconfig.LiveBounds
	Log      adapter.Log
	Control  adapter.Control
	Topics   *topics.Topics
	Replicas *replicas.Replicas
	Now      func() time.Time
	Logger   log.Logger
	// Limits counts the calls to replicas against the limits that they state; nil counts
	// none.
	Limits *replicalimits.ReplicaLimits
	// NotifyPeers starts an exchange of state with the peers at once.
	NotifyPeers func()
	// PeersOldestFetched returns the oldest weight version of a model whose context
	// any peer may still fetch; ok is false if that is not known for all peers.
	PeersOldestFetched func(model string) (oldest int, ok bool)
	// Rank returns the rank of this instance among the candidates, 0 being the first,
	// and whether it is connected to the majority, as Peering.Rank defines it.
	Rank func(now time.Time) (rank int, connected bool)

	mu        sync.Mutex
	lease     lease.Lease
	candidacy lease.Candidacy
	member    bool
	// resigned is true once this instance no longer applies for leadership.
	resigned bool
	// renewalFailing is true if the last renewal failed.
	renewalFailing bool
	// renewedAt is when the last successful renewal was sent.
	renewedAt time.Time
	// peerCommands has the replicas that another leader commanded to load weights, with
	// the time of its latest status that lists them.
	peerCommands map[string]time.Time
	// reloads and usable are by model.
	reloads map[string]*reload.Reload
	usable  map[string]usableVersion
}

// DrainedReplicas returns the replicas that get no new work until they hold a weight
// version, and the ids of those that were commanded to load it. Both are sorted by id,
// and empty if this instance is not the leader.
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

// Run takes part in the election and runs the leader's tasks until ctx ends.
func (l *Leader) Run(ctx context.Context) {
	l.mu.Lock()
	// Without fencing, a new leader must not act before the commands of the previous
	// one have arrived. If replicas check fencing tokens, only the replicas that the
	// previous leader drained have to wait; it reported them to its peers before it
	// commanded them.
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

// runTasks runs the leader's tasks until ctx ends. While this instance is not the
// leader, they only drop the state of the reloads, and are called less often.
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

// Resign gives up leadership and stops applying for it, for use when the instance is
// about to stop.
func (l *Leader) Resign(ctx context.Context) {
	l.mu.Lock()
	l.resigned = true
	l.mu.Unlock()
	l.leaveGroup(ctx)
}

// leaveGroup gives up leadership and leaves the group.
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
		_ = l.Logger.Log("msg", "Leaving the group failed; the membership will expire.", "err", err)
	}
}

// IsLeader reports whether this instance is the leader.
func (l *Leader) IsLeader(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lease.Held(now)
}

// Token returns the fencing token if this instance may act as the leader now.
func (l *Leader) Token(now time.Time) (token uint64, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lease.Token(now)
}

// RecordPeerLeader records that a peer was the leader at a given time, and the ids of
// the replicas that it had commanded to load weights.
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
		// Messages of peers may arrive before Run is called.
		if l.peerCommands == nil {
			l.peerCommands = map[string]time.Time{}
		}
		l.peerCommands[id] = at
	}
}

// PeerLeaderAge returns how long ago another instance was known to be the leader; ok is
// false if that is not known or too long ago to count.
func (l *Leader) PeerLeaderAge(now time.Time) (age time.Duration, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.candidacy.LeaderAge(now)
}

// RecordPeerStepDown records that the peer that was the leader has reported that it no
// longer is.
func (l *Leader) RecordPeerStepDown(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.candidacy.LeaderReleased(now)
}

// renew renews the membership, applies for one if there seems to be no leader, and
// leaves the group if another instance is the leader.
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
		// The membership has expired. Joining again would take leadership from the
		// instance that was elected meanwhile.
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
			_ = l.Logger.Log("msg", "Applied for leadership.", "rank", rank, "hears-most", connected, "held-before", held)
		}
		l.joinGroup(ctx)
	}
}

// joinGroup joins the group or renews the membership, and applies the grant.
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
		_ = l.Logger.Log("msg", "Membership renewal failed or recovered.", "fails", l.renewalFailing, "err", err)
	}
	if err != nil {
		return
	}
	l.member, l.renewedAt = true, sent
	l.lease.Renew(sent, ttl, grant)
	if leads := l.lease.Held(l.Now()); leads != held {
		_ = l.Logger.Log("msg", "This instance gained or lost leadership.", "held", leads, "generation", grant.Generation)
	}
}
