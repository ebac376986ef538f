package relay

import (
	"fmt"
	"testing"

	"crocusfold.dev/entry/adapter"
)

// BenchmarkPartFingerprints measures the fingerprints of a prompt of as many parts as a head takes.
func BenchmarkPartFingerprints(b *testing.B) {
	b.ReportAllocs()
	var info adapter.RequestInfo
	for i := range 1900 {
		info.Parts = append(info.Parts, adapter.PromptPart{ID: fmt.Sprintf("%08x", i), Tokens: 1})
	}
	for b.Loop() {
		c := call{info: info}
		c.partFingerprints()
	}
}
