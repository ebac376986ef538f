package crashbreaker

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"crocusfold.dev/core/peering"
	"crocusfold.dev/core/quarantine"
)

// longPrompt returns the parts of a prompt: those of its own and, last, the part that crashes.
func longPrompt(request, parts int) []quarantine.Fingerprint {
	out := make([]quarantine.Fingerprint, 0, parts)
	for i := range parts - 1 {
		out = append(out, fingerprint(fmt.Sprintf("own-%d-%d", request, i)))
	}
	return append(out, fingerprint("bad"))
}

// TestLongPromptsAddUp guards against a part that is not found among many: three requests have
// about as many parts each as there are records, and share only the one that crashes replicas.
// Two instances see one crash each, the third one sees the last, and they exchange them.
func TestLongPromptsAddUp(t *testing.T) {
	is := is.New(t)
	const parts = 1900
	var instances [3]Breaker
	now := at("0")
	exchanged := now
	for crash := range 3 {
		instances[crash].RecordCrash(now, Run{
			Fingerprint: fingerprint(fmt.Sprint("request", crash)), Parts: longPrompt(crash, parts), Replica: fmt.Sprint("r", crash), SentAt: now.Add(-time.Second),
		})
		now = now.Add(2 * time.Second)
		for from := range instances {
			for _, rec := range instances[from].ChangedSince(now, exchanged, peering.RootPeer) {
				for to := range instances {
					if to != from {
						instances[to].Merge(now, rec, peering.RootPeer)
					}
				}
			}
		}
		exchanged = now
	}
	for i := range instances {
		is.Equal(instances[i].CrashCount(fingerprint("bad")), 3)
		is.True(!instances[i].Check(now, longPrompt(9, parts)...).Allowed)
		is.True(instances[i].Check(now, longPrompt(9, parts)[:parts-1]...).Allowed)
		is.True(len(instances[i].records) <= maxRecords)
	}
}

// TestPendingPartsAreBounded guards against memory that grows with the parts of runs without a
// response.
func TestPendingPartsAreBounded(t *testing.T) {
	is := is.New(t)
	var b Breaker
	for i := range maxPending {
		b.RecordPending(at("0"), Run{Fingerprint: fingerprint(fmt.Sprint(i)), Replica: "r", Parts: make([]quarantine.Fingerprint, 1900)})
	}
	sum := 0
	for _, p := range b.pending {
		sum += len(p.Parts)
	}
	is.Equal(sum, b.pendingParts)
	is.True(sum <= maxPendingParts)
	is.Equal(len(b.RecordReplicaCrash(at("1"), "r", 0)), sum/1900)
	is.Equal(b.pendingParts, 0)
}

// BenchmarkLongPromptCrash measures a crash of a request whose parts evict those of the one before.
func BenchmarkLongPromptCrash(b *testing.B) {
	var breaker Breaker
	prompts := [][]quarantine.Fingerprint{longPrompt(0, 1900), longPrompt(1, 1900), longPrompt(2, 1900)}
	for n := 0; b.Loop(); n++ {
		now := at("0").Add(time.Duration(n) * time.Second)
		breaker.RecordCrash(now, Run{Fingerprint: fingerprint(fmt.Sprint(n)), Parts: prompts[n%3], Replica: fmt.Sprint(n), SentAt: now})
	}
}

// BenchmarkLongPromptSuccess measures what a success of a long prompt costs.
func BenchmarkLongPromptSuccess(b *testing.B) {
	var breaker Breaker
	parts := longPrompt(0, 1900)
	for b.Loop() {
		breaker.RecordAnswered(at("0"), parts)
	}
}
