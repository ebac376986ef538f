package rollouts

import (
	"time"

	"crocusfold.dev/core/canary"
	"crocusfold.dev/core/topicview"
	"crocusfold.dev/entry/adapter"
	"crocusfold.dev/entry/message"
)

// FillGossip adds the rollouts to a message to a peer that has all changes before the time
// since. Of the counts, it adds those of the instances that sendsCounts selects.
func (ro *Rollouts) FillGossip(now time.Time, m *message.Gossip, since time.Time, sendsCounts func(instance string) bool) {
	if !ro.enabled() {
		return
	}
	ro.mu.Lock()
	defer ro.mu.Unlock()
	m.RolloutsKnown = ro.recordsKnown
	for name, s := range ro.services {
		if r := s.recorded; r.State != "" && !s.recordedAt.Before(since) {
			status := message.RolloutStatus{
				Service: name, State: r.State, Target: r.Target, Era: r.Position.Era, Offset: r.Position.Offset,
				Base: r.Base, Withdrawn: r.Withdrawn,
			}
			if !r.Deadline.IsZero() {
				status.DeadlineMillis = r.Deadline.UnixMilli()
			}
			m.RolloutStatuses = append(m.RolloutStatuses, status)
		}
		ended := s.target == "" || s.phase == canary.Done || s.phase == canary.Withdrawn
		if ended && s.versionsAt.Before(since) && s.phaseAt.Before(since) {
			continue
		}
		if st, ok := s.canary.ExportPart(now, since, func(p canary.Process) bool { return sendsCounts(p.Instance) }); ok {
			m.Rollouts = append(m.Rollouts, message.Rollout{Service: name, State: st})
		}
	}
}

// MergeGossip merges the rollouts in a message of a peer, which took transit longer than its
// fastest ones. It reports whether the change must be sent on at once.
func (ro *Rollouts) MergeGossip(now time.Time, m message.Gossip, transit time.Duration) (urgent bool) {
	if !ro.enabled() {
		return false
	}
	ro.mu.Lock()
	defer ro.mu.Unlock()
	if sentAt := now.Add(-transit); sentAt.After(ro.heardAt) {
		ro.heardAt = sentAt
	}
	for _, r := range m.RolloutStatuses {
		status := adapter.RolloutStatus{Service: r.Service, Status: canary.Status{
			State: r.State, Target: r.Target, Position: topicview.Position{Era: r.Era, Offset: r.Offset}, Base: r.Base, Withdrawn: r.Withdrawn,
		}}
		if r.DeadlineMillis > 0 {
			status.Deadline = time.UnixMilli(r.DeadlineMillis)
		}
		ro.record(status)
	}
	ro.recordsKnown = ro.recordsKnown || m.RolloutsKnown
	for _, r := range m.Rollouts {
		s, ok := ro.services[r.Service]
		if !ok || !s.known {
			continue
		}
		s.canary.Merge(now, r.State, transit)
		urgent = ro.observePhase(now, s) || urgent
	}
	return urgent
}
