package topics

import (
	"time"

	"crocusfold.dev/core/topicview"
	"crocusfold.dev/entry/adapter"
	"crocusfold.dev/entry/message"
)

// ViewStates returns the states and the eras of the views that peers exchange: the
// operators' records and the list of replicas, in this order.
func (t *Topics) ViewStates(now time.Time) ([]message.ViewState, []message.ViewEra) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []message.ViewState
	var eras []message.ViewEra
	for _, topic := range []adapter.Topic{adapter.Operations, adapter.Replicas} {
		v := viewStateOf(now, &t.views[topic])
		if age := now.Sub(t.recoveredAt); topic == adapter.Replicas && !t.recoveredAt.IsZero() && age < rewriteTime {
			v.RecoveryAge = age
		}
		out = append(out, v)
		view := &t.views[topic]
		eras = append(eras, message.ViewEra{Era: view.Next().Era, Age: t.restore.age(now), HeldEra: view.HeldTo().Era, HeldOffset: view.HeldTo().Offset})
	}
	return out, eras
}

// positionOf returns the position up to which a peer has read topic number i. A peer that
// states no era counts as being in era 0.
func positionOf(i int, views []message.ViewState, eras []message.ViewEra) (topicview.Position, message.ViewEra) {
	era := message.ViewEra{Age: -1}
	if i < len(eras) {
		era = eras[i]
	}
	return topicview.Position{Era: era.Era, Offset: views[i].Next}, era
}

// viewStateOf returns the state of a view. Its ProofAge is -1 if the view is not loaded
// or has no proof.
func viewStateOf(now time.Time, view *topicview.View) message.ViewState {
	v := message.ViewState{Next: view.Next().Offset, ProofAge: -1}
	if view.Loaded() && !view.Proof().IsZero() {
		v.ProofAge = max(0, now.Sub(view.Proof()))
	}
	return v
}

// ViewSince returns the records of a topic for a peer that has those before the position
// from: the changes since then if they are still kept, else the complete view. It
// returns false if the topic is not known or its view is not loaded.
func (t *Topics) ViewSince(now time.Time, topic adapter.Topic, from topicview.Position) (message.ViewResponse, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if topic < 0 || int(topic) >= topicCount {
		return message.ViewResponse{}, false
	}
	view := &t.views[topic]
	v := viewStateOf(now, view)
	resp := message.ViewResponse{Next: v.Next, ProofAge: v.ProofAge, Era: view.Next().Era}
	if from.Offset > 0 {
		resp.Records, resp.Incremental = view.ChangedSince(from)
	}
	if !resp.Incremental {
		resp.Records, resp.Held = view.LogRecords(), view.Held()
		resp.HeldEra, resp.HeldOffset = view.HeldTo().Era, view.HeldTo().Offset
	}
	return resp, view.Loaded()
}

// Gap is a topic of which a peer has records that this instance lacks, and the position
// from which they are to be requested; offset 0 requests the complete view.
type Gap struct {
	Topic adapter.Topic
	From  topicview.Position
}

// MergeViewStates merges the states of a peer's views from the response to a request
// sent at the time sent. A view that has read as far as the peer's gets the proof of
// the peer. For the other views MergeViewStates returns the gaps whose records should
// be requested from the peer. A reader requests them only if its view is not loaded or
// its own proof is older than staleAfter.
func (t *Topics) MergeViewStates(now, sent time.Time, views []message.ViewState, eras []message.ViewEra) []Gap {
	isReader := t.IsReader(now)
	t.mu.Lock()
	defer t.mu.Unlock()
	defer t.publish()
	var gaps []Gap
	for i, topic := range []adapter.Topic{adapter.Operations, adapter.Replicas} {
		if i >= len(views) || views[i].ProofAge < 0 {
			continue
		}
		view := &t.views[topic]
		pos, era := positionOf(i, views, eras)
		t.observeEra(now, pos.Era, era.Age)
		if recoveredAt := sent.Add(-views[i].RecoveryAge); views[i].RecoveryAge > 0 && recoveredAt.After(t.recoveredAt) {
			t.recoveredAt = recoveredAt
		}
		if view.Loaded() && !view.Next().Before(pos) {
			view.RecordProof(sent.Add(-views[i].ProofAge), pos)
			if held := (topicview.Position{Era: era.HeldEra, Offset: era.HeldOffset}); pos.Era == view.Next().Era && view.HeldTo().Before(held) {
				gaps = append(gaps, Gap{Topic: topic})
			}
			continue
		}
		if !view.Loaded() || !isReader || now.Sub(view.Proof()) > staleAfter {
			gap := Gap{Topic: topic}
			if view.Loaded() && view.Next().Era == pos.Era {
				gap.From = view.Next()
			}
			gaps = append(gaps, gap)
		}
	}
	return gaps
}

// PeerAhead reports whether a peer with these view states has read further in a topic.
func (t *Topics) PeerAhead(views []message.ViewState, eras []message.ViewEra) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i, topic := range []adapter.Topic{adapter.Operations, adapter.Replicas} {
		if i >= len(views) || views[i].ProofAge < 0 {
			continue
		}
		if pos, _ := positionOf(i, views, eras); t.views[topic].Next().Before(pos) {
			return true
		}
	}
	return false
}

// MergeView merges the records that a peer returned for a gap, in the response to a
// request sent at the time sent. It reports whether the view has advanced.
func (t *Topics) MergeView(sent time.Time, gap Gap, resp message.ViewResponse) bool {
	if resp.ProofAge < 0 {
		return false
	}
	before := t.next(gap.Topic)
	next := topicview.Position{Era: resp.Era, Offset: resp.Next}
	t.applyChange(gap.Topic, sent.Add(-resp.ProofAge), next, func(view *topicview.View) []topicview.Record {
		if resp.Incremental && view.Next().Era == resp.Era && view.Next().Offset >= gap.From.Offset {
			return view.Apply(resp.Records, next)
		}
		changed := view.Replace(resp.Records, next)
		return append(changed, view.MergeHeld(resp.Held, topicview.Position{Era: resp.HeldEra, Offset: resp.HeldOffset}, next)...)
	})
	return before.Before(t.next(gap.Topic))
}

func (t *Topics) next(topic adapter.Topic) topicview.Position {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.views[topic].Next()
}
