// Package freshness decides whether an instance may trust its view of the
// configuration. It tells a log that is down for all instances, where nothing
// new can be accepted, from an instance that alone is cut off.
package freshness

import "time"

// Limits on the age of what an instance relies on.
const (
	// Limit is the age of the newest proof up to which a view is current.
	Limit = 2500 * time.Millisecond
	// downAfter is the age of the newest proof from which an instance reports
	// the log as down. It lies below Limit, so that all instances agree on an
	// outage before the first of them would have to stop.
	downAfter = 1500 * time.Millisecond
	// reportTTL is the age up to which a report of an outage counts.
	reportTTL = 1500 * time.Millisecond
	// outageTTL is how long an outage is believed without looking again.
	outageTTL = 400 * time.Millisecond
)

// Status says how far the view of the configuration can be trusted.
type Status int

// The verdicts, from the safest to the least safe.
const (
	// Current means that the view was proven complete within Limit.
	Current Status = iota
	// LogDown means that no instance hears the log, so the view is still right.
	LogDown
	// CutOff means that others may know a newer configuration.
	CutOff
)

// String returns the verdict as it appears in logs and status pages.
func (v Status) String() string {
	switch v {
	case Current:
		return "current"
	case LogDown:
		return "log-down"
	default:
		return "cut-off"
	}
}

// Report is what an instance tells its peers about its view.
type Report struct {
	// Next is the offset of the first record that it has not seen.
	Next uint64 `json:"next"`
	// ProofAge is the age of its newest proof; negative means none.
	ProofAge time.Duration `json:"proof-age"`
	// Down is true if it has had no proof for some time.
	Down bool `json:"down"`
	// DataCentreDown is true if that holds for each instance of its data centre.
	DataCentreDown bool `json:"data-centre-down"`
	// AllDown is true if that holds for each data centre.
	AllDown bool `json:"all-down"`
}

// Scope names the peers whose word is needed before an outage is believed.
type Scope struct {
	// Local lists the other live instances of the same data centre.
	Local []string
	// Readers lists, for each other data centre, the instances that read the log.
	Readers map[string][]string
}

// Freshness holds the proofs and reports of one instance. The zero value has
// neither and may be used at once. Times are readings of the instance's own monotonic clock.
type Freshness struct {
	// Started is when the instance began to look for proofs. Until some time
	// after it, the lack of a proof says nothing about the log.
	Started time.Time
	proof   time.Time
	reports map[string]receivedReport
}

type receivedReport struct {
	at     time.Time
	report Report
}

// RecordProof notes that the view is complete as of a moment. A reader of the log
// proves its view by reading back a tick that it began to append at that moment.
func (f *Freshness) RecordProof(at time.Time) {
	if at.After(f.proof) {
		f.proof = at
	}
}

// Receive takes a peer's report that was requested at the moment sent. The peer's
// proof carries over only if this instance has read as far as the peer.
func (f *Freshness) Receive(sent time.Time, peer string, rep Report, next uint64) {
	if f.reports == nil {
		f.reports = map[string]receivedReport{}
	}
	f.reports[peer] = receivedReport{sent, rep}
	if rep.ProofAge >= 0 && next >= rep.Next {
		f.RecordProof(sent.Add(-rep.ProofAge))
	}
}

// Forget drops the report of an instance that the platform no longer lists.
func (f *Freshness) Forget(peer string) { delete(f.reports, peer) }

// ProofAge returns the age of the newest proof, or a negative value for none.
func (f *Freshness) ProofAge(now time.Time) time.Duration {
	if f.proof.IsZero() {
		return -1
	}
	return max(0, now.Sub(f.proof))
}

// Assessment holds until when each reason to trust a view lasts. A process that
// was paused finds both in the past. The zero value trusts nothing.
type Assessment struct {
	CurrentUntil, DownUntil time.Time
}

// Status returns the verdict at a moment.
func (a Assessment) Status(now time.Time) Status {
	switch {
	case now.Before(a.CurrentUntil):
		return Current
	case now.Before(a.DownUntil):
		return LogDown
	default:
		return CutOff
	}
}

// Evaluate weighs the proofs and reports. An outage that is believed already
// counts when the newest proof runs out, so there is no gap between the two.
func (f *Freshness) Evaluate(now time.Time, scope Scope) Assessment {
	var a Assessment
	if !f.proof.IsZero() {
		a.CurrentUntil = f.proof.Add(Limit)
	}
	if f.allDown(now, scope) {
		a.DownUntil = now.Add(outageTTL)
	}
	return a
}

// OutageUnconfirmed reports whether the log seems down here but not yet to all others.
func (f *Freshness) OutageUnconfirmed(now time.Time, scope Scope) bool {
	return f.down(now) && !f.allDown(now, scope)
}

// Report returns what to tell a peer.
func (f *Freshness) Report(now time.Time, next uint64, scope Scope) Report {
	return Report{
		Next:           next,
		ProofAge:       f.ProofAge(now),
		Down:           f.down(now),
		DataCentreDown: f.localDown(now, scope),
		AllDown:        f.allDown(now, scope),
	}
}

func (f *Freshness) proofWithin(now time.Time, limit time.Duration) bool {
	age := f.ProofAge(now)
	return age >= 0 && age <= limit
}

func (f *Freshness) down(now time.Time) bool {
	return !f.proofWithin(now, downAfter) && now.Sub(f.Started) > downAfter
}

func (f *Freshness) localDown(now time.Time, scope Scope) bool {
	if !f.down(now) {
		return false
	}
	for _, peer := range scope.Local {
		if rep, ok := f.recentReport(now, peer); !ok || !rep.Down {
			return false
		}
	}
	return true
}

// allDown needs the word of each local instance and of one reader in each other
// data centre. An instance with no peers at all can't tell an outage from a cut.
func (f *Freshness) allDown(now time.Time, scope Scope) bool {
	if !f.localDown(now, scope) || len(scope.Local)+len(scope.Readers) == 0 {
		return false
	}
	for _, readers := range scope.Readers {
		if !f.anyReaderDown(now, readers) && !f.relayedAllDown(now, scope.Local) {
			return false
		}
	}
	return true
}

func (f *Freshness) anyReaderDown(now time.Time, readers []string) bool {
	for _, peer := range readers {
		if rep, ok := f.recentReport(now, peer); ok && rep.DataCentreDown {
			return true
		}
	}
	return false
}

// relayedAllDown reports whether a local instance, which talks to the readers of other
// data centres, found that all are down.
func (f *Freshness) relayedAllDown(now time.Time, local []string) bool {
	for _, peer := range local {
		if rep, ok := f.recentReport(now, peer); ok && rep.AllDown {
			return true
		}
	}
	return false
}

func (f *Freshness) recentReport(now time.Time, peer string) (Report, bool) {
	r, ok := f.reports[peer]
	if !ok || now.Sub(r.at) > reportTTL {
		return Report{}, false
	}
	return r.report, true
}
