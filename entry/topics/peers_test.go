package topics

import (
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/matryer/is"

	"crocusfold.dev/core/topicview"
	"crocusfold.dev/entry/adapter"
	"crocusfold.dev/entry/message"
)

// TestPeerWithoutEras checks that the views of a peer of an earlier release, which states no
// eras, neither prove nor replace a view of a known era.
func TestPeerWithoutEras(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	topics := &Topics{
		Now: func() time.Time { return now }, Logger: log.NewNopLogger(), IsReader: func(time.Time) bool { return false },
		OnReplicas: func(time.Time, []topicview.Record, time.Time) {}, OnRestore: func() {},
		OnListLoaded: func(time.Time, []topicview.Record, bool) {},
	}
	own := []topicview.Record{{Key: "r1", Value: []byte("own"), Offset: 4}}
	topics.applyChange(adapter.Replicas, now, topicview.Position{Era: 2, Offset: 5}, func(v *topicview.View) []topicview.Record {
		return v.Replace(own, topicview.Position{Era: 2, Offset: 5})
	})
	sent := now.Add(time.Second)
	gaps := topics.MergeViewStates(sent, sent, []message.ViewState{{ProofAge: -1}, {Next: 9}}, nil)
	is.Equal(len(gaps), 0)
	is.Equal(topics.views[adapter.Replicas].Proof(), now)
	other := message.ViewResponse{Next: 9, Records: []topicview.Record{{Key: "r1", Value: []byte("peer's"), Offset: 8}}}
	is.True(!topics.MergeView(sent, Gap{Topic: adapter.Replicas}, other))
	is.Equal(topics.views[adapter.Replicas].Records(), own)
}
