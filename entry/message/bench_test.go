package message

import (
	"fmt"
	"testing"
	"time"

	"crocusfold.dev/core/peering"
)

// BenchmarkGossip writes and reads the message of a root with work at as many
// replicas as the grown deployments have.
func BenchmarkGossip(b *testing.B) {
	m := Gossip{
		Header:     peering.Header{Name: "edge-cuenca-norte-1", DataCentre: "cuenca-norte", Relation: peering.Parent},
		ViewStates: []ViewState{{Next: 7, ProofAge: time.Second}, {Next: 15, ProofAge: time.Second}},
	}
	for i := range 112 {
		m.Loads.Add(fmt.Sprintf("i-%010d", i), 6, 40_000, 2_000, 20*time.Millisecond)
	}
	b.ReportAllocs()
	size := 0
	for range b.N {
		raw, err := Codec.Encode(m)
		if err != nil {
			b.Fatal(err)
		}
		size = len(raw)
		if _, err := Codec.Decode(raw); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(size), "B/message")
}
