package crashbreaker

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"crocusfold.dev/core/quarantine"
)

// TestCrashRecordedAfterLaterMessage checks that a peer is sent a crash that was observed
// before a message was filled for it, but recorded after that.
func TestCrashRecordedAfterLaterMessage(t *testing.T) {
	is := is.New(t)
	observed := time.UnixMilli(1_000_000)
	filled := observed.Add(50 * time.Millisecond)
	var b Breaker
	is.Equal(len(b.ChangedSince(filled, time.Time{})), 0)
	b.RecordCrash(observed, Run{Fingerprint: quarantine.Fingerprint{1}, Replica: "r"})
	is.Equal(len(b.ChangedSince(filled.Add(time.Second), filled)), 1)
}
