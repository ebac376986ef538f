// Package rollouts runs the rollouts of software versions at an instance: it keeps the state
// of core/canary of each service, decides with it which versions a request may use, records
// what became of requests, exchanges the state with other instances, and writes the status
// if this instance is the leader.
package rollouts

import (
	"context"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/go-kit/log"

	"crocusfold.dev/core/canary"
	"crocusfold.dev/core/topicview"
	"crocusfold.dev/entry/adapter"
	"crocusfold.dev/entry/edgeconfig"
	"crocusfold.dev/entry/replicas"
	"crocusfold.dev/entry/topics"
	"crocusfold.dev/shell/clock"
)

const (
	// stepInterval is the pause between two steps of the decision.
	stepInterval = 80 * time.Millisecond
	// recordsWait is how long a process that has just started waits for the recorded status
	// from a peer before it requests the records of the log itself.
	recordsWait = 500 * time.Millisecond
	// silentAfter is how long after the last message of a peer was sent this instance no
	// longer sends requests to a target that may turn out bad. Peers call each other every
	// 160 to 400 ms (core/peering).
	silentAfter = 2 * time.Second
)

// Rollouts has the rollouts of all services. It handles none while Bounds.ExposeShare is 0:
// then all versions are allowed, and nothing is sent to peers or written. A nil Rollouts
// handles none either. The exported fields must be set before use. It is safe for concurrent
// use.
type Rollouts struct {
	// Name is the name of this instance.
	Name     string
	Bounds   *edgeconfig.LiveBounds
	Topics   *topics.Topics
	Replicas *replicas.Replicas
	Log      adapter.Log
	Decoder  adapter.Decoder
	Now      func() time.Time
	Logger   log.Logger
	// NotifyPeers starts an exchange with the peers at once.
	NotifyPeers func()
	// Token returns the fencing token if this instance may act as the leader.
	Token func(now time.Time) (token uint64, ok bool)
	// Reachable returns the names of the other instances that are alive.
	Reachable func() []string

	mu     sync.Mutex
	number uint64
	// instances is the number of known instances; 0 until it is known.
	instances int
	intent    *adapter.Intent
	startedAt time.Time
	// heardAt is when the newest message of a peer was sent.
	heardAt time.Time
	// recordsKnown is true once the recorded status of all services is known, from the log
	// or from a peer.
	recordsKnown bool
	// ready is true once the orders were applied to the services of the first intent.
	ready    bool
	services map[string]*service
	// unknown has the services of orders that were logged as unknown.
	unknown map[string]bool
	writer  writer
}

// service is the state of the rollouts of one service.
type service struct {
	canary canary.Canary
	// known is true once Apply was called.
	known bool
	// order is the present order, nil if there is none, and seenAt when its record was first
	// seen. The canary tells whether that is a new attempt.
	order  *adapter.RolloutOrder
	seenAt time.Time
	// recorded is the newest status that is known to be recorded, since recordedAt.
	recorded   adapter.RolloutStatus
	recordedAt time.Time
	// changed is true if order or recorded has changed since the last Apply.
	changed bool
	// rewrite is true if the log may have lost the recorded status.
	rewrite bool
	// phase, target, base and withdrawn are those of the canary after its latest change. The
	// phase began at phaseAt; base or withdrawn last changed at versionsAt.
	phase        canary.Phase
	phaseAt      time.Time
	target, base string
	withdrawn    []string
	versionsAt   time.Time
	// running has the number of requests that run at replicas, by software version.
	running  map[string]int
	loggedAt time.Time
}

// enabled reports whether the settings call for rollouts.
func (ro *Rollouts) enabled() bool { return ro != nil && ro.Bounds.Bounds().ExposeShare > 0 }

// Run steps the decisions, and writes the status while this instance is the leader, until ctx
// ends.
func (ro *Rollouts) Run(ctx context.Context) {
	ro.mu.Lock()
	ro.startedAt = ro.Now()
	ro.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(func() { clock.Every(ctx, stepInterval, func() { ro.step() }) })
	wg.Go(func() { clock.Every(ctx, stepInterval, func() { ro.writeDue(ctx) }) })
	wg.Wait()
}

// Ready reports whether the rules of all services are known, so that requests can be served.
func (ro *Rollouts) Ready() bool {
	if !ro.enabled() {
		return true
	}
	ro.mu.Lock()
	defer ro.mu.Unlock()
	return ro.ready
}

// SetInstances sets the number of known instances, this one included.
func (ro *Rollouts) SetInstances(n int) {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	ro.instances = n
}

// Configure takes in an intent. It must not call methods of Topics, which calls it.
func (ro *Rollouts) Configure(in *adapter.Intent) {
	now := ro.Now()
	ro.mu.Lock()
	defer ro.mu.Unlock()
	// The settings may call for rollouts later, so the orders are kept in any case.
	ro.intent = in
	for name := range in.Table.Services {
		ro.service(name)
	}
	for name, s := range ro.services {
		order, ok := in.Rollouts[name]
		switch {
		case !ok && s.order != nil:
			s.order, s.changed = nil, true
		case ok && (s.order == nil || *s.order != order):
			s.seenAt = now
			if s.order, s.changed = &order, true; !ro.enabled() {
				continue
			}
			_ = ro.Logger.Log("msg", "Read the order of a rollout.", "service", name, "target", order.Target, "duration", order.Duration, "era", order.Position.Era, "offset", order.Position.Offset)
		}
	}
	ro.logUnknown(in)
}

// logUnknown logs the orders for services that the configuration does not have, once each.
// The caller holds the lock.
func (ro *Rollouts) logUnknown(in *adapter.Intent) {
	unknown := map[string]bool{}
	for name := range in.Rollouts {
		if _, ok := in.Table.Services[name]; ok {
			continue
		}
		if unknown[name] = true; !ro.unknown[name] && ro.enabled() {
			_ = ro.Logger.Log("msg", "The order of a rollout is for an unknown service.", "service", name)
		}
	}
	ro.unknown = unknown
}

// service returns the state of a service. The caller holds the lock.
func (ro *Rollouts) service(name string) *service {
	s, ok := ro.services[name]
	if ok {
		return s
	}
	if ro.services == nil {
		ro.services = map[string]*service{}
	}
	for ro.number == 0 {
		ro.number = rand.Uint64()
	}
	s = &service{running: map[string]int{}, changed: true}
	s.canary.Service, s.canary.Self = name, canary.Process{Instance: ro.Name, Number: ro.number}
	ro.services[name] = s
	return s
}

// ApplyRecords takes in changed records of the topic of instances. It returns those that are
// not of rollouts. The call itself shows that the records of the topic are known.
func (ro *Rollouts) ApplyRecords(changed []topicview.Record) (others []topicview.Record) {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	for _, rec := range changed {
		status, ok, err := ro.Decoder.RolloutStatus(rec)
		switch {
		case !ok:
			others = append(others, rec)
		case err != nil:
			_ = ro.Logger.Log("msg", "Ignored the status of a rollout.", "key", rec.Key, "offset", rec.Offset, "err", err)
		case status.State != "":
			ro.record(status)
		}
	}
	ro.recordsKnown = true
	return others
}

// record takes in a recorded status, unless it is older than the known one. The caller holds
// the lock.
func (ro *Rollouts) record(status adapter.RolloutStatus) {
	s := ro.service(status.Service)
	if !newer(s.recorded.Status, status.Status) {
		return
	}
	s.recorded, s.recordedAt, s.changed = status, ro.Now(), true
}

// newer reports whether a status replaces a known one: its order is a later one, or it ends
// the rollout of the same order. Copies of the log may bring older ones.
func newer(known, status canary.Status) bool {
	switch {
	case known.State == "" || status.Position == (topicview.Position{}):
		return known.State == "" || known.Position == (topicview.Position{})
	case known.Position != status.Position:
		return known.Position.Before(status.Position)
	}
	return known.State == canary.Serving && status.State != canary.Serving || known.Target != status.Target
}

// WriteAgain makes the leader write the recorded status again, which the log may have lost.
func (ro *Rollouts) WriteAgain() {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	for _, s := range ro.services {
		s.rewrite = s.recorded.State != ""
	}
}

// step applies what has changed to the canaries and steps them.
func (ro *Rollouts) step() {
	if !ro.enabled() {
		return
	}
	now := ro.Now()
	proven := ro.Topics.Proven()
	_, ok := proven.Age(now)
	token, leads := ro.Token(now)
	var reachable []string
	if leads {
		reachable = ro.Reachable()
	}
	versions := ro.versions(now, ro.ordered(), closedDataCentres(proven))
	notify := false
	ro.mu.Lock()
	request := !ro.recordsKnown && now.Sub(ro.startedAt) > recordsWait
	// After a restore of the log, the orders that the operators write again are awaited: an
	// order that is written again in the same era would be a new attempt.
	current := ok && proven.Complete && ro.recordsKnown && ro.instances > 0 && ro.intent != nil
	for name, s := range ro.services {
		if current {
			ro.apply(now, s)
		}
		if s.known {
			notify = ro.advance(now, s, canary.Surroundings{
				Leader: leads, Generation: token, Reachable: reachable, Versions: versions[name],
				OldRunning: s.oldRunning(), LongestTimeout: ro.intent.Table.LongestTimeout(name),
			}) || notify
		}
	}
	ro.ready = ro.ready || current
	ro.mu.Unlock()
	if request {
		ro.Topics.RequestInstances()
	}
	if notify {
		ro.NotifyPeers()
	}
}

// ordered returns the services that have an order.
func (ro *Rollouts) ordered() map[string]bool {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	out := map[string]bool{}
	for name, s := range ro.services {
		out[name] = s.order != nil
	}
	return out
}

func closedDataCentres(proven *topics.Proven) map[string]bool {
	if proven.Intent == nil {
		return nil
	}
	return proven.Intent.ClosedDataCentres
}

// apply passes the order and the recorded status to the canary if they have changed. The
// caller holds the lock.
func (ro *Rollouts) apply(now time.Time, s *service) {
	b := ro.Bounds.Bounds()
	s.canary.Bounds = canary.Bounds{Share: b.ExposeShare, Slack: b.ExposureSlack, Rollback: b.Rollback, Instances: ro.instances}
	if s.known && !s.changed {
		return
	}
	age := now.Sub(s.seenAt)
	if r := s.recorded; s.order != nil && !r.Deadline.IsZero() && r.Target == s.order.Target && r.State == canary.Serving {
		// The recorded deadline shows how long ago other processes saw the order.
		age = max(age, s.order.Duration-time.Until(r.Deadline))
	}
	s.canary.Apply(now, s.order, age, s.recorded.Status)
	s.known, s.changed = true, false
}

// advance steps the canary of a service, logs a change of its phase, and reports whether
// there is one. The caller holds the lock.
func (ro *Rollouts) advance(now time.Time, s *service, around canary.Surroundings) bool {
	s.canary.Step(now, around)
	return ro.observePhase(now, s)
}

// logInterval is the pause between two log lines of a rollout that runs.
const logInterval = 2 * time.Second

// observePhase updates the phase of a service after a change of its canary, logs it, and
// reports whether it has changed. The caller holds the lock.
func (ro *Rollouts) observePhase(now time.Time, s *service) bool {
	sum := s.canary.Summary(now)
	changed := sum.Phase != s.phase
	if changed {
		s.phaseAt = now
	}
	s.phase, s.target = sum.Phase, sum.Order.Target
	// The state without the evidence, of which nothing has changed since the future.
	if st, _ := s.canary.Export(now, now.Add(time.Hour)); st.Base != s.base || !slices.Equal(st.Ended, s.withdrawn) {
		s.base, s.withdrawn, s.versionsAt = st.Base, st.Ended, now
	}
	running := sum.Phase == canary.Watching || sum.Phase == canary.Moving || sum.Phase == canary.Settling
	if !changed && (!running || now.Sub(s.loggedAt) < logInterval) {
		return changed
	}
	s.loggedAt = now
	msg := "A rollout runs."
	if changed {
		msg = "The phase of a rollout changed."
	}
	_ = ro.Logger.Log("msg", msg, "service", s.canary.Service, "target", sum.Order.Target, "phase", sum.Phase,
		"share", strconv.FormatFloat(sum.Share, 'f', 3, 64), "age", sum.Age.Round(time.Millisecond), "why", sum.Why,
		"sent-here", sum.Exposed, "balance", strconv.FormatFloat(sum.Balance, 'f', 1, 64), "counts", countsText(sum.Routes))
	return changed
}

// countsText returns the counts of routes and versions for the log: for each, the route, the
// version, and the numbers of responses and of those that failed, were lost or slow.
func countsText(routes []canary.RouteSummary) string {
	out := ""
	for i, r := range routes {
		if i > 0 {
			out += " "
		}
		version := "old"
		if r.Target {
			version = "target"
		}
		out += r.Route + "/" + version + "=" + strconv.FormatUint(r.Responses, 10) + "," + strconv.FormatUint(r.Failed, 10) + "," + strconv.FormatUint(r.Lost, 10) + "," + strconv.FormatUint(r.Slow, 10)
	}
	return out
}

// oldRunning returns the number of this instance's requests that run at other versions than
// the target of the order.
func (s *service) oldRunning() int {
	n := 0
	for version, running := range s.running {
		if s.order == nil || version != s.order.Target {
			n += running
		}
	}
	return n
}

// Summaries returns the state of the services that have a rollout, sorted by service.
func (ro *Rollouts) Summaries(now time.Time) []canary.Summary {
	if !ro.enabled() {
		return nil
	}
	ro.mu.Lock()
	defer ro.mu.Unlock()
	var out []canary.Summary
	for _, s := range ro.services {
		if sum := s.canary.Summary(now); s.known && sum.Phase != canary.Idle {
			out = append(out, sum)
		}
	}
	slices.SortFunc(out, func(a, b canary.Summary) int { return compare(a.Order.Service, b.Order.Service) })
	return out
}

func compare(a, b string) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}
