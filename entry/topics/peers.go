package topics

import (
	"time"

	"crocusfold.dev/core/topicview"
	"crocusfold.dev/entry/adapter"
	"crocusfold.dev/entry/message"
)

// Views returns the state of the operators' records and the list of replicas.
func (t *Topics) Views(now time.Time) []message.ViewState {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []message.ViewState
	for _, topic := range []adapter.Topic{adapter.Operations, adapter.Replicas} {
		v := viewState(now, &t.feeds[topic])
		if age := now.Sub(t.returned); topic == adapter.Replicas && !t.returned.IsZero() && age < returnTime {
			v.ReturnAge = age
		}
		out = append(out, v)
	}
	return out
}

func viewState(now time.Time, f *topicview.View) message.ViewState {
	v := message.ViewState{Next: f.Next(), ProofAge: -1}
	if f.Loaded() && !f.Proof().IsZero() {
		v.ProofAge = max(0, now.Sub(f.Proof()))
	}
	return v
}

// Copy returns the records of a topic for a peer that has those before an offset.
func (t *Topics) Copy(now time.Time, topic adapter.Topic, from uint64) (message.ViewCopy, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if topic < 0 || int(topic) >= topicCount {
		return message.ViewCopy{}, false
	}
	f := &t.feeds[topic]
	v := viewState(now, f)
	c := message.ViewCopy{Next: v.Next, ProofAge: v.ProofAge}
	if from > 0 {
		c.Records, c.Changes = f.ChangedSince(from)
	}
	if !c.Changes {
		c.Records = f.Records()
	}
	return c, f.Loaded()
}

// Behind is a topic whose records should be asked for from an offset on.
type Behind struct {
	Topic adapter.Topic
	From  uint64
}

// Hear takes a peer's views, asked for at sent. It returns the topics in which the
// peer has read further, unless this instance reads them itself.
func (t *Topics) Hear(now, sent time.Time, views []message.ViewState) []Behind {
	reads := t.Reads(now)
	t.mu.Lock()
	defer t.mu.Unlock()
	var behind []Behind
	for i, topic := range []adapter.Topic{adapter.Operations, adapter.Replicas} {
		if i >= len(views) || views[i].ProofAge < 0 {
			continue
		}
		f := &t.feeds[topic]
		if returned := sent.Add(-views[i].ReturnAge); views[i].ReturnAge > 0 && returned.After(t.returned) {
			t.returned = returned
		}
		if f.Loaded() && f.Next() >= views[i].Next {
			f.RecordProof(sent.Add(-views[i].ProofAge), views[i].Next)
			continue
		}
		if !f.Loaded() || !reads || now.Sub(f.Proof()) > staleAfter {
			b := Behind{Topic: topic}
			if f.Loaded() {
				b.From = f.Next()
			}
			behind = append(behind, b)
		}
	}
	return behind
}

// Ahead reports whether a peer that told its views has read further.
func (t *Topics) Ahead(views []message.ViewState) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i, topic := range []adapter.Topic{adapter.Operations, adapter.Replicas} {
		if i < len(views) && views[i].ProofAge >= 0 && t.feeds[topic].Next() < views[i].Next {
			return true
		}
	}
	return false
}

// Merge takes a peer's copy of a topic, asked for at sent. It reports whether the
// view has advanced.
func (t *Topics) Merge(sent time.Time, b Behind, c message.ViewCopy) bool {
	if c.ProofAge < 0 {
		return false
	}
	before := t.next(b.Topic)
	t.take(b.Topic, sent.Add(-c.ProofAge), c.Next, func(f *topicview.View) []topicview.Record {
		if c.Changes && f.Next() >= b.From {
			return f.Apply(c.Records, c.Next)
		}
		return f.Replace(c.Records, c.Next)
	})
	return t.next(b.Topic) > before
}

func (t *Topics) next(topic adapter.Topic) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.feeds[topic].Next()
}
