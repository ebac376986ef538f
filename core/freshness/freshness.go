// Package freshness decides whether an instance may trust its view of the configuration.
// It distinguishes an outage of the log for all instances, during which no new
// configuration can be accepted, from the loss of connection of one instance.
package freshness

import "time"

// Limits on the age of proofs and reports.
const (
	// Limit is the age of the newest proof up to which a view is current.
	Limit = 2500 * time.Millisecond
	// downAfter is the age of the newest proof above which an instance reports the
	// log as down. It is lower than Limit, so that all instances agree on an outage
	// before the first of them would have to stop.
	downAfter = 1500 * time.Millisecond
	// reportTTL is the age up to which a peer's report counts.
	reportTTL = 1500 * time.Millisecond
	// outageTTL is how long a confirmed outage counts until it must be confirmed again.
	outageTTL = 400 * time.Millisecond
)

// Status is the degree to which the view of the configuration can be trusted.
type Status int

// The statuses, from the safest to the least safe.
const (
	// Current means that the view was proven complete within Limit.
	Current Status = iota
	// LogDown means that no instance can read the log, so that the view is still up
	// to date.
	LogDown
	// CutOff means that other instances may have a newer configuration.
	CutOff
)

// String returns the status as it appears in logs and status pages.
func (s Status) String() string {
	switch s {
	case Current:
		return "current"
	case LogDown:
		return "log-down"
	default:
		return "cut-off"
	}
}

// Report is an instance's report to its peers about its view.
type Report struct {
	// Next is the offset of the first record that the instance has not read.
	Next uint64 `json:"next"`
	// ProofAge is the age of its newest proof; negative means none.
	ProofAge time.Duration `json:"proof-age"`
	// Down is true if the log seems down to the instance: its start and its newest
	// proof, if it has one, are more than downAfter ago.
	Down bool `json:"down"`
	// DataCentreDown is true if the log seems down to each instance of its data
	// centre.
	DataCentreDown bool `json:"data-centre-down"`
	// AllDown is true if the log seems down to all data centres.
	AllDown bool `json:"all-down"`
}

// Scope lists the peers whose reports are needed to confirm an outage of the log.
type Scope struct {
	// Local lists the other live instances of the same data centre.
	Local []string
	// Readers lists, for each other data centre, the instances that read the log.
	Readers map[string][]string
}

// Freshness holds an instance's newest proof and the reports of its peers. The zero value
// has neither and is ready to use. Times are readings of the instance's own monotonic
// clock. It is not safe for concurrent use.
type Freshness struct {
	// Started is when the instance began to obtain proofs. For downAfter from then,
	// the lack of a proof says nothing about the log.
	Started time.Time
	// proof is the latest moment as of which the view is proven complete.
	proof   time.Time
	reports map[string]receivedReport
}

type receivedReport struct {
	// at is when the report was requested.
	at     time.Time
	report Report
}

// RecordProof records that the view is complete as of the given moment. A reader of the
// log proves its view by reading back a heartbeat record whose append it began at that
// moment.
func (f *Freshness) RecordProof(at time.Time) {
	if at.After(f.proof) {
		f.proof = at
	}
}

// Receive records a peer's report that was requested at the moment sent. The peer's proof
// also proves the own view, but only if this instance has read as far as the peer: next is
// the offset of the first record that this instance has not read.
func (f *Freshness) Receive(sent time.Time, peer string, rep Report, next uint64) {
	if f.reports == nil {
		f.reports = map[string]receivedReport{}
	}
	f.reports[peer] = receivedReport{sent, rep}
	if rep.ProofAge >= 0 && next >= rep.Next {
		f.RecordProof(sent.Add(-rep.ProofAge))
	}
}

// Forget deletes the report of a peer that the platform no longer lists.
func (f *Freshness) Forget(peer string) { delete(f.reports, peer) }

// ProofAge returns the age of the newest proof, or a negative value if there is none.
func (f *Freshness) ProofAge(now time.Time) time.Duration {
	if f.proof.IsZero() {
		return -1
	}
	return max(0, now.Sub(f.proof))
}

// Assessment holds the moments until which a view is current, and until which an outage of
// the log counts as confirmed. After a pause of the process both lie in the past, so that
// an old assessment is not relied on. The zero value always means CutOff.
type Assessment struct {
	CurrentUntil, DownUntil time.Time
}

// Status returns the status at the given moment.
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

// Evaluate assesses the proofs and reports. An outage can be confirmed before the newest
// proof expires, so that there is no gap between Current and LogDown.
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

// OutageUnconfirmed reports whether the log seems down to this instance, but the peers in
// scope have not confirmed an outage.
func (f *Freshness) OutageUnconfirmed(now time.Time, scope Scope) bool {
	return f.down(now) && !f.allDown(now, scope)
}

// Report returns this instance's report to its peers. Next is the offset of the first
// record that it has not read.
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

// allDown reports whether an outage is confirmed. This needs the reports of all local
// instances, and for each other data centre that of one of its readers or of a local
// instance to which all data centres seem down. An instance without any peers can't
// distinguish an outage from a loss of its own connection.
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

// relayedAllDown reports whether a local instance, which may receive from the readers of
// other data centres, has reported that the log seems down to all of them.
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
