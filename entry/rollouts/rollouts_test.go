package rollouts

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/go-kit/log"

	"crocusfold.dev/core/canary"
	"crocusfold.dev/core/route"
	"crocusfold.dev/core/topicview"
	"crocusfold.dev/entry/adapter"
	"crocusfold.dev/entry/edgeconfig"
	"crocusfold.dev/entry/message"
)

// fakeLog refuses fenced appends as a test says, and keeps the tokens of all.
type fakeLog struct {
	adapter.Log
	refuse func(adapter.FencingToken) error
	tokens []adapter.FencingToken
}

func (l *fakeLog) PutFenced(_ context.Context, _ string, _ []byte, token adapter.FencingToken) error {
	l.tokens = append(l.tokens, token)
	return l.refuse(token)
}

// noDecoder encodes each status as nothing.
type noDecoder struct{ adapter.Decoder }

func (noDecoder) EncodeRolloutStatus(s adapter.RolloutStatus) (string, []byte, error) {
	return s.Service, nil, nil
}

// newRollouts returns the rollouts of an instance that knows the orders of the service s.
func newRollouts(name string, now *time.Time, order *adapter.RolloutOrder) *Rollouts {
	bounds := &edgeconfig.LiveBounds{}
	bounds.Set(edgeconfig.Bounds{ExposeShare: 0.1, ExposureSlack: 50})
	ro := &Rollouts{
		Name: name, Bounds: bounds, Now: func() time.Time { return *now }, Logger: log.NewNopLogger(), Decoder: noDecoder{},
		NotifyPeers: func() {}, Token: func(time.Time) (uint64, bool) { return 7, true },
	}
	in := &adapter.Intent{Table: route.NewTable(1, route.Limits{}, nil, []route.Service{{Name: "s"}}, nil, false), Rollouts: map[string]adapter.RolloutOrder{}}
	if order != nil {
		in.Rollouts["s"] = *order
	}
	ro.Configure(in)
	ro.SetInstances(2)
	ro.stepService(*now)
	return ro
}

// stepService applies the orders and steps the service s with replicas of two versions.
func (ro *Rollouts) stepService(now time.Time) {
	s := ro.services["s"]
	ro.apply(now, s)
	ro.advance(now, s, canary.Surroundings{Leader: true, Generation: 7, Versions: []canary.VersionReplicas{
		{Version: "v1", Replicas: 4, Oldest: now.Add(-time.Hour)}, {Version: "v2", Replicas: 4, Oldest: now},
	}})
}

var order = adapter.RolloutOrder{Service: "s", Target: "v2", Duration: 20 * time.Second, Position: topicview.Position{Era: 1, Offset: 5}}

// TestNotKnown checks that a process that has not learned the rules yet allows no version,
// and that one whose settings call for no rollouts allows all.
func TestNotKnown(t *testing.T) {
	now := time.Unix(1000, 0)
	ro := newRollouts("n1", &now, nil)
	if ch := ro.Choose(now, "s", "r"); !ch.Allowed || !ch.Known() {
		t.Errorf("a known service: %+v", ch)
	}
	if ch := ro.Choose(now, "new", "r"); ch.Allowed || ch.Known() || ro.MaySend(now, ch, "v1") {
		t.Errorf("a service that is not known: %+v", ch)
	}
	ro.Bounds.Set(edgeconfig.Bounds{})
	if ch := ro.Choose(now, "new", "r"); !ch.Allowed || ro.Allows(now, ch).Restrict() || !ro.MaySend(now, ch, "v1") {
		t.Errorf("without rollouts: %+v", ch)
	}
	var none *Rollouts
	if ch := none.Choose(now, "s", "r"); !ch.Allowed || !none.MaySend(now, ch, "v1") || !none.Ready() {
		t.Errorf("nil: %+v", ch)
	}
}

// TestMaySend checks the versions once more right before a request is sent: one that was
// chosen earlier must not reach a version that was rolled back meanwhile, nor the old version
// once nothing more may be sent there.
func TestMaySend(t *testing.T) {
	now := time.Unix(1000, 0)
	target := Choice{Choice: canary.Choice{Allowed: true, Target: true, Versions: canary.Versions{Only: "v2"}}, service: "s", known: true}
	old := Choice{Choice: canary.Choice{Allowed: true, Versions: canary.Versions{Only: "v1"}}, service: "s", known: true}
	resumed := old
	resumed.resumes = true
	for _, c := range []struct {
		phase                canary.Phase
		target, old, resumed bool
	}{
		{canary.Watching, true, true, true},
		{canary.Moving, true, true, true},
		{canary.Settling, true, false, true},
		{canary.Done, true, false, true},
		{canary.Withdrawn, false, true, true},
	} {
		ro := newRollouts("n1", &now, &order)
		ro.heardAt = now
		ro.services["s"].phase = c.phase
		got := [3]bool{ro.MaySend(now, target, "v2"), ro.MaySend(now, old, "v1"), ro.MaySend(now, resumed, "v1")}
		if want := [3]bool{c.target, c.old, c.resumed}; got != want {
			t.Errorf("%s: %v, wanted %v", c.phase, got, want)
		}
		if ro.MaySend(now, old, "v2") {
			t.Errorf("%s: a request for the old version may be sent to the target", c.phase)
		}
		late := now.Add(silentAfter + time.Millisecond)
		if mayTurnBad := c.phase < canary.Settling; mayTurnBad && ro.MaySend(late, target, "v2") {
			t.Errorf("%s: the target gets requests of an instance that has heard no other", c.phase)
		}
	}
}

// TestNewer checks which of two recorded statuses counts: a restored log and peers bring older
// ones, which must not undo a rollback.
func TestNewer(t *testing.T) {
	at := func(state, target string, era, offset uint64) canary.Status {
		return canary.Status{State: state, Target: target, Position: topicview.Position{Era: era, Offset: offset}}
	}
	for _, c := range []struct {
		known, status canary.Status
		want          bool
	}{
		{canary.Status{}, at(canary.Serving, "v2", 1, 5), true},
		{at(canary.Serving, "v2", 1, 5), at(canary.RolledBack, "v2", 1, 5), true},
		{at(canary.RolledBack, "v2", 1, 5), at(canary.Serving, "v2", 1, 5), false},
		{at(canary.RolledBack, "v2", 1, 5), at(canary.Serving, "v2", 1, 8), true},
		{at(canary.Serving, "v2", 1, 8), at(canary.RolledBack, "v2", 1, 5), false},
		{at(canary.Completed, "v2", 2, 1), at(canary.Serving, "v2", 1, 9), false},
		{at(canary.RolledBack, "v2", 1, 5), at(canary.RolledBack, "v2", 1, 5), false},
		{at(canary.Serving, "v2", 1, 5), at(canary.RolledBack, "v2", 0, 0), false},
	} {
		if got := newer(c.known, c.status); got != c.want {
			t.Errorf("%+v after %+v: %v, wanted %v", c.status, c.known, got, c.want)
		}
	}
}

// TestGossip checks that an instance that has just started learns the recorded status and the
// verdict from a peer through the encoded message.
func TestGossip(t *testing.T) {
	now := time.Unix(1000, 0)
	sender, receiver := newRollouts("n1", &now, &order), newRollouts("n2", &now, &order)
	sender.recordsKnown = true
	sender.record(adapter.RolloutStatus{Service: "s", Deadline: time.UnixMilli(1_700_000_000_000), Status: canary.Status{
		State: canary.RolledBack, Target: "v2", Position: order.Position, Base: "v1", Withdrawn: []string{"v0", "v2"},
	}})
	sender.stepService(now)
	var sent message.Gossip
	sender.FillGossip(now, &sent, time.Time{}, func(string) bool { return true })
	raw, err := message.Codec.Encode(sent)
	if err != nil {
		t.Fatal(err)
	}
	received, err := message.Codec.Decode(raw)
	if err != nil {
		t.Fatal(err)
	}
	receiver.MergeGossip(now, received.(message.Gossip), 0)
	receiver.stepService(now)
	if s := receiver.services["s"]; !receiver.recordsKnown || s.phase != canary.Withdrawn || s.recorded.Deadline.UnixMilli() != 1_700_000_000_000 {
		t.Errorf("records known %v, phase %s, recorded %+v", receiver.recordsKnown, s.phase, s.recorded)
	}
	if ch := receiver.Resume(now, "s", "r", "v2"); ch.Allowed {
		t.Error("a stream of the version that was rolled back may go on")
	}
}

// TestWriterSequence checks that the writer numbers its writes, finds the number that the log
// expects after a write whose response was lost, and begins anew with a new lease.
func TestWriterSequence(t *testing.T) {
	now := time.Unix(1000, 0)
	expected := uint64(0)
	l := &fakeLog{}
	l.refuse = func(token adapter.FencingToken) error {
		if token.Seq != expected {
			return adapter.ErrSequence
		}
		expected++
		return nil
	}
	ro := newRollouts("n1", &now, &order)
	ro.Log, ro.writer = l, writer{epoch: 7, confirmed: true}
	status := write{status: adapter.RolloutStatus{Service: "s", Status: canary.Status{State: canary.Serving, Target: "v2"}}}
	for range 2 {
		if !ro.put(t.Context(), status) {
			t.Errorf("refused: tokens %v", l.tokens)
		}
	}
	if ro.writer.seq != 2 {
		t.Errorf("next number %d, tokens %v", ro.writer.seq, l.tokens)
	}
	expected = 3
	if ro.put(t.Context(), status) {
		t.Errorf("a number that the log does not expect was taken: tokens %v", l.tokens)
	}
	if !ro.put(t.Context(), status) {
		t.Errorf("the next number was refused: tokens %v", l.tokens)
	}
	l.refuse = func(adapter.FencingToken) error { return errors.New("status 503") }
	if ro.put(t.Context(), status) || !ro.writer.notBefore.After(now) || ro.writer.seq != 4 {
		t.Errorf("after a failed write: %+v", ro.writer)
	}
	ro.Token = func(time.Time) (uint64, bool) { return 8, true }
	if n := len(l.tokens); ro.put(t.Context(), status) || len(l.tokens) != n {
		t.Error("a status was written with the token of an earlier lease")
	}
}
