// Package versionadmission decides when the streams of a service may begin at a further
// software version. What two versions write does not fit together, so that a stream whose
// origin is lost goes on only if one version alone can have begun it. A version is therefore
// admitted by a durable record before its first stream, and a new one only once the streams
// of the others are recorded or over.
package versionadmission

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Times after a version was last listed, as multiples of the longest time of a stream.
const (
	// idleWindows is the age from which a version must be admitted again before use,
	// deleteWindows that from which its record is deleted, and forgetWindows that from which
	// nothing is known of it. They differ by more than the clocks of instances that see the
	// same list.
	idleWindows   = 2
	deleteWindows = 3
	forgetWindows = 6
)

const (
	// settleTime is how long it may take until the end of an instance is known, and until the
	// living ones have recorded on the log the streams that began before they saw a version.
	settleTime = 6 * time.Second
	// lostWindows is how long the streams of an instance that ended may be resumed after a new
	// version is listed, as a multiple of the longest time of a stream.
	lostWindows = 2
	// rankDelay is the pause before an admission for each rank of the instance, so that
	// usually one instance writes it.
	rankDelay = 20 * time.Millisecond
	// rewriteInterval is the pause between two writes of the replicas of a version.
	rewriteInterval = time.Second
)

// Version is a software version of a service.
type Version struct{ Service, Name string }

// Process identifies a process of a replica by the hashes of its id and of its incarnation.
type Process struct{ Replica, Incarnation uint32 }

// NewProcess returns the process of an incarnation of a replica.
func NewProcess(id string, incarnation int64) Process {
	return Process{uint32(xxhash.Sum64String(id)), uint32(incarnation) ^ uint32(incarnation>>32)}
}

// Listed is a replica in the list of replicas.
type Listed struct {
	Version string
	Process Process
	// Ready is true if the replica takes requests.
	Ready bool
}

// Record is what the log says of an admitted version: the processes of its replicas, in the
// order of their hashes.
type Record struct {
	Version   Version
	Processes []Process
}

// Write is a change of the log. Delete is true if the version is no longer admitted.
type Write struct {
	Record
	Delete bool
}

// Served is an admitted version and when it was last listed.
type Served struct {
	Version Version
	At      time.Time
}

// admission is the state of an admitted version.
type admission struct {
	lastListed time.Time
	// processes are those on the log, in the order of their hashes, and current those in the list.
	processes, current []Process
	// rewriteAt is when the processes may be written again. lost is true if the log may have
	// lost the record.
	rewriteAt time.Time
	lost      bool
}

// candidate is a version that is listed and not admitted. served is true if it may have
// begun streams all the same.
type candidate struct {
	since     time.Time
	processes []Process
	served    bool
}

// replicaOf identifies a replica of a service.
type replicaOf struct {
	service string
	replica uint32
}

// lastListed is the version that a replica was last listed with.
type lastListed struct {
	version string
	at      time.Time
}

// Admissions are the admitted software versions of all services. The zero value knows none,
// not even whether there are any. It is not safe for concurrent use.
type Admissions struct {
	loaded bool
	// incomplete is true if the log has records that this program can't read.
	incomplete bool
	window     time.Duration
	admitted   map[Version]*admission
	candidates map[Version]candidate
	// due has the candidates that may be admitted, and since when.
	due      map[Version]time.Time
	replicas map[replicaOf]lastListed
	// changedAt is when an instance last started or ended, as far as known.
	changedAt time.Time
}

// SetWindow sets the longest time of a stream, within which its caller may resume it.
func (a *Admissions) SetWindow(d time.Duration) { a.window = d }

// InstancesChanged records that an instance started or ended. The streams that it began may
// be known to no other one.
func (a *Admissions) InstancesChanged(at time.Time) { a.changedAt = at }

// expired reports whether a time is a number of windows ago or more. Nothing expires before the
// window is set.
func (a *Admissions) expired(now, at time.Time, windows time.Duration) bool {
	return a.window > 0 && now.Sub(at) >= windows*a.window
}

// Loaded reports whether the versions that were admitted before are known.
func (a *Admissions) Loaded() bool { return a.loaded }

// Load takes in all records of the log. complete is false if there are others that can't be read;
// then no version is known to be the only one.
func (a *Admissions) Load(now time.Time, records []Record, complete bool) {
	a.loaded, a.incomplete = true, !complete
	for _, rec := range records {
		a.admit(now, rec.Version).processes = rec.Processes
	}
}

// Learn takes in the versions that a peer knows to be admitted. complete is true if it knows
// all that were admitted before.
func (a *Admissions) Learn(now time.Time, served []Served, complete bool) {
	a.loaded = a.loaded || complete
	for _, s := range served {
		if a.expired(now, s.At, idleWindows) {
			continue
		}
		ad := a.admit(s.At, s.Version)
		if s.At.After(ad.lastListed) {
			ad.lastListed = s.At
		}
		a.dropCandidate(s.Version)
	}
}

// admit returns the admission of a version. A new one counts as listed at a time.
func (a *Admissions) admit(at time.Time, v Version) *admission {
	if a.admitted == nil {
		a.admitted = map[Version]*admission{}
	}
	ad, ok := a.admitted[v]
	if !ok {
		ad = &admission{lastListed: at}
		a.admitted[v] = ad
		a.dropCandidate(v)
	}
	return ad
}

func (a *Admissions) dropCandidate(v Version) {
	delete(a.candidates, v)
	delete(a.due, v)
}

// Lost records that the log may have lost all records.
func (a *Admissions) Lost() {
	for _, ad := range a.admitted {
		ad.lost = true
	}
}

// Observe takes in the list of the replicas of a service.
func (a *Admissions) Observe(now time.Time, service string, listed []Listed) {
	byVersion, served := map[string][]Process{}, map[string]bool{}
	ready, admittedReady := 0, 0
	for _, r := range listed {
		byVersion[r.Version] = append(byVersion[r.Version], r.Process)
		served[r.Version] = served[r.Version] || a.changedVersion(now, service, r)
		if !r.Ready {
			continue
		}
		ready++
		if a.Admitted(now, Version{service, r.Version}) {
			admittedReady++
		}
	}
	for v := range a.candidates {
		if _, ok := byVersion[v.Name]; v.Service == service && !ok {
			a.dropCandidate(v)
		}
	}
	for name, processes := range byVersion {
		slices.SortFunc(processes, compare)
		v := Version{service, name}
		if ad, ok := a.admitted[v]; ok && !a.expired(now, ad.lastListed, idleWindows) {
			ad.lastListed, ad.current = now, processes
			continue
		}
		if a.candidates == nil {
			a.candidates, a.due = map[Version]candidate{}, map[Version]time.Time{}
		}
		c, ok := a.candidates[v]
		if !ok {
			c.since = now
		}
		c.processes = processes
		c.served = c.served || served[name] || a.startedAgain(v, processes)
		a.candidates[v] = c
	}
	few := 2*admittedReady < ready
	for v, c := range a.candidates {
		if v.Service != service {
			continue
		}
		if _, ok := a.due[v]; !ok && a.loaded && (few || c.served || !now.Before(a.settledAt(c))) {
			a.due[v] = now
		}
	}
	a.sweep(now)
}

func compare(x, y Process) int {
	return cmp.Or(cmp.Compare(x.Replica, y.Replica), cmp.Compare(x.Incarnation, y.Incarnation))
}

// settledAt returns when the streams that began before a version was listed are recorded or
// over. Living instances record theirs when they see it; those of an instance that ended
// are over after some time. What began since the version is listed is
// recorded at once.
func (a *Admissions) settledAt(c candidate) time.Time {
	if a.changedAt.After(c.since.Add(-a.window)) {
		return c.since.Add(lostWindows * a.window)
	}
	return c.since.Add(settleTime)
}

// changedVersion reports whether a replica was listed with another version lately. It may
// have started again with this one, and have begun streams, before its entry said so.
func (a *Admissions) changedVersion(now time.Time, service string, r Listed) bool {
	if a.replicas == nil {
		a.replicas = map[replicaOf]lastListed{}
	}
	key := replicaOf{service, r.Process.Replica}
	last, ok := a.replicas[key]
	a.replicas[key] = lastListed{r.Version, now}
	return ok && last.version != r.Version && !a.expired(now, last.at, idleWindows)
}

// startedAgain reports the same by what the log says of the replicas of other versions.
func (a *Admissions) startedAgain(v Version, processes []Process) bool {
	for other, ad := range a.admitted {
		if other.Service != v.Service || other == v {
			continue
		}
		for _, p := range processes {
			i, _ := slices.BinarySearchFunc(ad.processes, Process{Replica: p.Replica}, compare)
			if i < len(ad.processes) && ad.processes[i].Replica == p.Replica && ad.processes[i] != p {
				return true
			}
		}
	}
	return false
}

// sweep drops what is known of versions that were last listed long ago.
func (a *Admissions) sweep(now time.Time) {
	for v, ad := range a.admitted {
		if a.expired(now, ad.lastListed, forgetWindows) {
			delete(a.admitted, v)
		}
	}
	for r, last := range a.replicas {
		if a.expired(now, last.at, idleWindows) {
			delete(a.replicas, r)
		}
	}
}

// Due returns the writes that an instance of a rank has to make now, rank 0 being the first.
func (a *Admissions) Due(now time.Time, rank int) []Write {
	var out []Write
	for v, since := range a.due {
		if now.Sub(since) >= time.Duration(rank)*rankDelay {
			out = append(out, Write{Record: Record{v, a.candidates[v].processes}})
		}
	}
	pending := a.Pending()
	for v, ad := range a.admitted {
		switch {
		case pending[v.Service]:
			// A replica of a candidate may be one that the record has with its previous version.
		case a.expired(now, ad.lastListed, deleteWindows):
			if rank == 0 && !now.Before(ad.rewriteAt) {
				ad.rewriteAt = now.Add(a.window)
				out = append(out, Write{Record: Record{Version: v}, Delete: true})
			}
		case a.expired(now, ad.lastListed, idleWindows) || now.Before(ad.rewriteAt):
		case ad.lost, rank == 0 && len(ad.current) > 0 && !slices.Equal(ad.current, ad.processes):
			out = append(out, Write{Record: Record{v, ad.current}})
		}
	}
	return out
}

// Written records that a write has succeeded.
func (a *Admissions) Written(now time.Time, w Write) {
	if w.Delete {
		return
	}
	ad, ok := a.admitted[w.Version]
	if !ok || a.expired(now, ad.lastListed, idleWindows) {
		ad = a.admit(now, w.Version)
		ad.lastListed = now
		a.dropCandidate(w.Version)
	}
	ad.processes, ad.lost, ad.rewriteAt = w.Processes, false, now.Add(rewriteInterval)
	if ad.current == nil {
		ad.current = w.Processes
	}
}

// Admitted reports whether streams may begin at a version.
func (a *Admissions) Admitted(now time.Time, v Version) bool {
	ad, ok := a.admitted[v]
	return ok && !a.expired(now, ad.lastListed, idleWindows)
}

// Only returns the version of a service if no other one can have begun a stream that may
// still be resumed; ok is false if that is not known.
func (a *Admissions) Only(now time.Time, service string) (name string, ok bool) {
	if !a.loaded || a.incomplete {
		return "", false
	}
	for _, v := range a.versions() {
		if v.Service != service || !a.Admitted(now, v) {
			continue
		}
		if ok {
			return "", false
		}
		name, ok = v.Name, true
	}
	for v, c := range a.candidates {
		if v.Service == service && c.served {
			return "", false
		}
	}
	return name, ok
}

// versions returns the versions that are or were admitted.
func (a *Admissions) versions() []Version { return slices.Collect(maps.Keys(a.admitted)) }

// Allowed returns the versions of each service at which streams may begin.
func (a *Admissions) Allowed(now time.Time) map[string]map[string]bool {
	out := map[string]map[string]bool{}
	for _, v := range a.versions() {
		if !a.Admitted(now, v) {
			continue
		}
		if out[v.Service] == nil {
			out[v.Service] = map[string]bool{}
		}
		out[v.Service][v.Name] = true
	}
	return out
}

// Pending returns the services that have a version which may be admitted soon.
func (a *Admissions) Pending() map[string]bool {
	out := map[string]bool{}
	for v := range a.candidates {
		out[v.Service] = true
	}
	return out
}

// Served returns the versions that are admitted and when each was last listed.
func (a *Admissions) Served(now time.Time) []Served {
	var out []Served
	for _, v := range a.versions() {
		if a.Admitted(now, v) {
			out = append(out, Served{v, a.admitted[v].lastListed})
		}
	}
	return out
}
