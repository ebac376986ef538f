package configsync

import (
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/matryer/is"

	"crocusfold.dev/core/change"
	"crocusfold.dev/core/freshness"
)

// TestViewIsPublishedBeforeItsAssessment checks that no request finds an older view once the
// newer one counts as current. The change of the status is logged as the assessment is
// published, so that a request that comes in at that moment is played there.
func TestViewIsPublishedBeforeItsAssessment(t *testing.T) {
	is := is.New(t)
	f := &Follower{published: make(chan struct{}), loggedStatus: freshness.CutOff}
	logged := false
	f.Logger = log.LoggerFunc(func(...any) error {
		logged = true
		is.True(f.AllowsNewWork(time.Now()))
		is.Equal(f.View().Offset, uint64(1)) // the view that counts as current
		return nil
	})
	f.mu.Lock()
	defer f.mu.Unlock()
	_, err := f.ledger.Apply(0, change.Heartbeat{})
	is.NoErr(err)
	f.freshness.RecordProof(time.Now())
	f.publish()
	is.True(logged)
}
