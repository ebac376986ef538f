package crashbreaker

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"crocusfold.dev/core/peering"
	"crocusfold.dev/core/quarantine"
)

// Parameters of the model of a fleet.
const (
	fleetSeeds = 3
	// contactTime, lateBound and crashBound state the users' bound: at most lateBound
	// requests with the part from contactTime after crash number crashBound on, sent by
	// instances that were not disturbed for contactTime.
	contactTime = 3 * time.Second
	lateBound   = 3
	crashBound  = 5

	step             = 10 * time.Millisecond
	quietTime        = 6 * time.Second
	badTime          = 30 * time.Second
	exchangeInterval = 160 * time.Millisecond
	maxRoots         = 16
	// answerTime is how long a run goes on after its first event before it clears its
	// parts, and runTime how long it goes on in all.
	answerTime = 250 * time.Millisecond
	runTime    = 600 * time.Millisecond
)

// TestFleets plays requests with a part that crashes replicas, beside sound requests that
// share their other parts, at fleets of instances that exchange their records as those of
// core/overlay do. Replicas crash for other causes too, and instances restart and are cut
// off. CROCUS_SEEDS and CROCUS_FIRST_SEED change the seeds.
func TestFleets(t *testing.T) {
	for _, size := range []struct{ instances, replicas int }{{9, 12}, {58, 90}, {195, 300}} {
		for seed := envInt("CROCUS_FIRST_SEED", 1); seed < envInt("CROCUS_FIRST_SEED", 1)+envInt("CROCUS_SEEDS", fleetSeeds); seed++ {
			t.Run(fmt.Sprintf("size-%d/seed-%d", size.instances, seed), func(t *testing.T) {
				newFleet(size.instances, size.replicas, uint64(seed)).play(t)
			})
		}
	}
}

func envInt(variable string, value int) int {
	if n, err := strconv.Atoi(os.Getenv(variable)); err == nil {
		return n
	}
	return value
}

type fleet struct {
	rnd       *rand.Rand
	now       time.Time
	start     time.Time
	instances []*modelInstance
	replicas  []*modelReplica
	// observations are crashes that instances will observe.
	observations []observation
	requests     int
	crashes      []time.Time
	// late is the number of late requests with the part, from undisturbed instances.
	late          int
	before, after tally
	disturbs      bool
	// recordsSent is the number of records that instances have sent to each other.
	recordsSent int
}

// tally counts the sound requests that were sent, and those that began.
type tally struct{ sent, began int }

type modelInstance struct {
	breaker *Breaker
	parent  int
	// exchanged has when the records for each peer were last collected.
	exchanged map[int]time.Time
	next      time.Time
	cutUntil  time.Time
	disturbed time.Time
}

type modelReplica struct {
	name        string
	incarnation int64
	downUntil   time.Time
	runs        []*modelRun
}

type modelRun struct {
	instance int
	request  quarantine.Fingerprint
	parts    []quarantine.Fingerprint
	bad      bool
	sentAt   time.Time
	beginsAt time.Time
	began    bool
	answered bool
	count    *tally
}

type observation struct {
	at       time.Time
	instance int
	run      Run
}

func newFleet(instances, replicas int, seed uint64) *fleet {
	f := &fleet{rnd: rand.New(rand.NewPCG(seed, uint64(instances))), now: time.Unix(1000, 0), disturbs: seed > 1}
	f.start = f.now
	for i := range instances {
		m := &modelInstance{breaker: &Breaker{Seed: uint64(i)}, parent: -1, exchanged: map[int]time.Time{}}
		if i >= maxRoots {
			m.parent = i % maxRoots
		}
		f.instances = append(f.instances, m)
	}
	for i := range replicas {
		f.replicas = append(f.replicas, &modelReplica{name: "r" + strconv.Itoa(i)})
	}
	return f
}

func (f *fleet) chance(perSecond float64) bool { return f.rnd.Float64() < perSecond*step.Seconds() }

func (f *fleet) play(t *testing.T) {
	for f.now.Before(f.start.Add(quietTime + badTime)) {
		f.now = f.now.Add(step)
		bad := f.now.After(f.start.Add(quietTime))
		if bad && f.chance(4) {
			f.send(true)
		}
		// The sound requests grow with the fleet; those with a part do not.
		for range 1 + len(f.replicas)/12 {
			if f.chance(10) {
				f.send(false)
			}
		}
		f.run()
		f.observe()
		if f.disturbs && bad {
			f.disturb()
		}
		f.exchangeAll()
	}
	t.Logf("crashes %d, late %d; sound requests began %d of %d before, %d of %d after", len(f.crashes), f.late, f.before.began, f.before.sent, f.after.began, f.after.sent)
	if len(f.crashes) == 0 {
		t.Error("no replica crashed; want some for a valid test")
	}
	if f.late > lateBound {
		t.Errorf("%d late requests; want at most %d", f.late, lateBound)
	}
	if f.before.sent < 20 || f.after.sent < 20 || 2*f.after.began*f.before.sent < f.before.began*f.after.sent {
		t.Error("sound requests begin less than half as often as before, or are too few")
	}
}

// send sends a request through a random instance to a random replica.
func (f *fleet) send(bad bool) {
	f.requests++
	i := f.rnd.IntN(len(f.instances))
	m := f.instances[i]
	// A tenth of the second parts are rare.
	second := f.rnd.IntN(4)
	if f.rnd.IntN(10) == 0 {
		second = 4 + f.rnd.IntN(200)
	}
	run := &modelRun{instance: i, bad: bad, request: fingerprint("request" + strconv.Itoa(f.requests)), sentAt: f.now}
	run.parts = []quarantine.Fingerprint{fingerprint("first"), fingerprint("second" + strconv.Itoa(second))}
	if bad {
		run.parts = append(run.parts, fingerprint("bad"))
	} else {
		run.count = f.tally(m)
	}
	if run.count != nil {
		run.count.sent++
	}
	if !m.breaker.Admit(f.now, strconv.Itoa(f.requests), append([]quarantine.Fingerprint{run.request}, run.parts...)...).Allowed {
		return
	}
	undisturbed := f.now.Sub(m.disturbed) > contactTime
	if bad && undisturbed && len(f.crashes) >= crashBound && f.now.Sub(f.crashes[crashBound-1]) > contactTime {
		f.late++
	}
	if !slices.ContainsFunc(f.replicas, func(r *modelReplica) bool { return !f.now.Before(r.downUntil) }) {
		return
	}
	r := f.replicas[f.rnd.IntN(len(f.replicas))]
	for f.now.Before(r.downUntil) {
		r = f.replicas[f.rnd.IntN(len(f.replicas))]
	}
	run.beginsAt = f.now.Add(time.Duration(50+f.rnd.IntN(200)) * time.Millisecond)
	r.runs = append(r.runs, run)
}

// tally returns where a sound request that is sent now counts, nil if nowhere.
func (f *fleet) tally(m *modelInstance) *tally {
	switch n := min(crashBound, len(f.crashes)); {
	case f.now.Sub(m.disturbed) <= contactTime:
		return nil
	case n == 0:
		return &f.before
	case f.now.Sub(f.crashes[n-1]) >= 2*contactTime:
		return &f.after
	}
	return nil
}

// run lets the runs at all replicas go on.
func (f *fleet) run() {
	for _, r := range f.replicas {
		crashed := false
		kept := r.runs[:0]
		for _, run := range r.runs {
			if !run.began && !f.now.Before(run.beginsAt) {
				run.began = true
				crashed = crashed || run.bad
				if run.count != nil && !crashed {
					run.count.began++
				}
			}
			if run.began && !run.bad && !run.answered && f.now.Sub(run.beginsAt) >= answerTime {
				run.answered = true
				f.instances[run.instance].breaker.RecordAnswered(f.now, run.parts)
			}
			if !run.began || f.now.Sub(run.beginsAt) < runTime {
				kept = append(kept, run)
			}
		}
		r.runs = kept
		if crashed {
			f.crashes = append(f.crashes, f.now)
			f.crash(r, 0)
		}
	}
}

// crash ends a replica and all its runs. Their instances observe it after up to silence.
func (f *fleet) crash(r *modelReplica, silence time.Duration) {
	for _, run := range r.runs {
		seen := f.now.Add(5*time.Millisecond + time.Duration(f.rnd.Int64N(int64(silence+20*time.Millisecond))))
		out := Run{Fingerprint: run.request, Replica: r.name, Incarnation: r.incarnation, SentAt: run.sentAt}
		if !run.answered {
			out.Parts = run.parts
		}
		f.observations = append(f.observations, observation{seen, run.instance, out})
	}
	r.runs = nil
	r.incarnation++
	r.downUntil = f.now.Add(time.Duration(1500+f.rnd.IntN(3000)) * time.Millisecond)
}

func (f *fleet) observe() {
	var later []observation
	for _, o := range f.observations {
		if o.at.After(f.now) {
			later = append(later, o)
			continue
		}
		m := f.instances[o.instance]
		m.breaker.RecordCrash(f.now, o.run)
		m.next = f.now
	}
	f.observations = later
}

// disturb crashes up to a third of the replicas at once, restarts instances and cuts them
// off from their peers.
func (f *fleet) disturb() {
	if f.chance(0.2) {
		silence := time.Duration(f.rnd.IntN(2)) * 1500 * time.Millisecond
		for _, i := range f.rnd.Perm(len(f.replicas))[:1+f.rnd.IntN(len(f.replicas)/3)] {
			if !f.now.Before(f.replicas[i].downUntil) {
				f.crash(f.replicas[i], silence)
			}
		}
	}
	if f.chance(0.3) {
		m := f.instances[f.rnd.IntN(len(f.instances))]
		m.disturbed = f.now
		*m.breaker = Breaker{Seed: m.breaker.Seed}
		m.exchanged = map[int]time.Time{}
		for _, other := range f.instances {
			delete(other.exchanged, f.index(m))
		}
	}
	if f.chance(0.3) {
		m := f.instances[f.rnd.IntN(len(f.instances))]
		m.cutUntil = f.now.Add(time.Duration(500+f.rnd.IntN(3000)) * time.Millisecond)
		m.disturbed = m.cutUntil
	}
}

func (f *fleet) index(m *modelInstance) int {
	for i, other := range f.instances {
		if other == m {
			return i
		}
	}
	return -1
}

// exchangeAll lets the instances that are due exchange records: a root with all roots, a
// child with its parent.
func (f *fleet) exchangeAll() {
	for i, m := range f.instances {
		if f.now.Before(m.next) {
			continue
		}
		m.next = f.now.Add(exchangeInterval)
		if m.parent >= 0 {
			f.exchange(i, m.parent)
			continue
		}
		for j := range min(maxRoots, len(f.instances)) {
			if j != i {
				f.exchange(i, j)
			}
		}
	}
}

func (f *fleet) exchange(i, j int) {
	a, b := f.instances[i], f.instances[j]
	if f.now.Before(a.cutUntil) || f.now.Before(b.cutUntil) {
		return
	}
	f.tell(a, b, i, j)
	f.tell(b, a, j, i)
}

// tell sends the records of an instance that have changed since the last message. Their
// times are off by the delay of the message. A receiver that learns something exchanges
// in the next step.
func (f *fleet) tell(from, to *modelInstance, i, j int) {
	delay := time.Duration(f.rnd.IntN(15)) * time.Millisecond
	for _, rec := range from.breaker.ChangedSince(f.now, from.exchanged[j], f.relation(from, to, i, j)) {
		f.recordsSent++
		for k := range rec.Crashes {
			c := &rec.Crashes[k]
			c.At, c.SentAt = c.At.Add(delay), c.SentAt.Add(delay)
		}
		if to.breaker.Merge(f.now, rec, f.relation(from, to, i, j)) {
			to.next = minTime(to.next, f.now.Add(step))
		}
	}
	from.exchanged[j] = f.now
}

// relation returns the position of an instance in the overlay, relative to another one.
func (f *fleet) relation(from, to *modelInstance, i, j int) peering.Relation {
	switch {
	case from.parent == j:
		return peering.Child
	case to.parent == i:
		return peering.Parent
	}
	return peering.RootPeer
}
