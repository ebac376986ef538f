package topics

import (
	"time"

	"crocusfold.dev/core/topicview"
	"crocusfold.dev/entry/adapter"
	"crocusfold.dev/entry/message"
)

// ViewStates returns the state of the operators' records and the list of replicas.
func (t *Topics) ViewStates(now time.Time) []message.ViewState {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []message.ViewState
	for _, topic := range []adapter.Topic{adapter.Operations, adapter.Replicas} {
		v := viewStateOf(now, &t.views[topic])
		if age := now.Sub(t.recoveredAt); topic == adapter.Replicas && !t.recoveredAt.IsZero() && age < rewriteTime {
			v.RecoveryAge = age
		}
		out = append(out, v)
	}
	return out
}

func viewStateOf(now time.Time, f *topicview.View) message.ViewState {
	v := message.ViewState{Next: f.Next(), ProofAge: -1}
	if f.Loaded() && !f.Proof().IsZero() {
		v.ProofAge = max(0, now.Sub(f.Proof()))
	}
	return v
}

// ViewSince returns the records of a topic for a peer that has those before an offset.
func (t *Topics) ViewSince(now time.Time, topic adapter.Topic, from uint64) (message.ViewResponse, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if topic < 0 || int(topic) >= topicCount {
		return message.ViewResponse{}, false
	}
	f := &t.views[topic]
	v := viewStateOf(now, f)
	c := message.ViewResponse{Next: v.Next, ProofAge: v.ProofAge}
	if from > 0 {
		c.Records, c.Incremental = f.ChangedSince(from)
	}
	if !c.Incremental {
		c.Records = f.Records()
	}
	return c, f.Loaded()
}

// Gap is a topic whose records should be asked for from an offset on.
type Gap struct {
	Topic adapter.Topic
	From  uint64
}

// MergeViewStates takes a peer's views, asked for at sent. It returns the topics in which the
// peer has read further, unless this instance reads them itself.
func (t *Topics) MergeViewStates(now, sent time.Time, views []message.ViewState) []Gap {
	reads := t.IsReader(now)
	t.mu.Lock()
	defer t.mu.Unlock()
	var behind []Gap
	for i, topic := range []adapter.Topic{adapter.Operations, adapter.Replicas} {
		if i >= len(views) || views[i].ProofAge < 0 {
			continue
		}
		f := &t.views[topic]
		if returned := sent.Add(-views[i].RecoveryAge); views[i].RecoveryAge > 0 && returned.After(t.recoveredAt) {
			t.recoveredAt = returned
		}
		if f.Loaded() && f.Next() >= views[i].Next {
			f.RecordProof(sent.Add(-views[i].ProofAge), views[i].Next)
			continue
		}
		if !f.Loaded() || !reads || now.Sub(f.Proof()) > staleAfter {
			b := Gap{Topic: topic}
			if f.Loaded() {
				b.From = f.Next()
			}
			behind = append(behind, b)
		}
	}
	return behind
}

// PeerAhead reports whether a peer that told its views has read further.
func (t *Topics) PeerAhead(views []message.ViewState) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i, topic := range []adapter.Topic{adapter.Operations, adapter.Replicas} {
		if i < len(views) && views[i].ProofAge >= 0 && t.views[topic].Next() < views[i].Next {
			return true
		}
	}
	return false
}

// MergeView takes a peer's copy of a topic, asked for at sent. It reports whether the
// view has advanced.
func (t *Topics) MergeView(sent time.Time, b Gap, c message.ViewResponse) bool {
	if c.ProofAge < 0 {
		return false
	}
	before := t.next(b.Topic)
	t.applyChange(b.Topic, sent.Add(-c.ProofAge), c.Next, func(f *topicview.View) []topicview.Record {
		if c.Incremental && f.Next() >= b.From {
			return f.Apply(c.Records, c.Next)
		}
		return f.Replace(c.Records, c.Next)
	})
	return t.next(b.Topic) > before
}

func (t *Topics) next(topic adapter.Topic) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.views[topic].Next()
}
