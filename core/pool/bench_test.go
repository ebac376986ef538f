package pool

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkChoose places prompts on as many engines as the grown deployments have,
// with the loads that fifteen peers told.
func BenchmarkChoose(b *testing.B) {
	now := time.Unix(0, 0)
	p := &Pool{DataCentre: "dc-0"}
	loads := map[string]Load{}
	for i := range 112 {
		id := fmt.Sprintf("i-%010d", i)
		p.Set(Replica{ID: id, Service: "s", DataCentre: fmt.Sprintf("dc-%d", i%4), Slots: 12, Versions: map[string]int{"m": 1}})
		loads[id] = Load{Running: 1, Tokens: 900, PendingPrefill: 100}
	}
	for i := range 15 {
		p.SetPeerLoads(now, fmt.Sprint("peer-", i), loads)
	}
	req := Request{Service: "s", Model: "m", Memory: 71_020, Tokens: 1_200, PrefillTokens: 300, AffinityKey: "part"}
	b.ReportAllocs()
	for i := range b.N {
		req.SampleSeed = uint64(i) | 1
		p.Choose(now, req)
	}
}

// BenchmarkSetPeerLoads takes what a peer told.
func BenchmarkSetPeerLoads(b *testing.B) {
	now := time.Unix(0, 0)
	p := &Pool{}
	loads := map[string]Load{}
	for i := range 112 {
		id := fmt.Sprintf("i-%010d", i)
		p.Set(Replica{ID: id, Service: "s", Slots: 12})
		loads[id] = Load{Running: 1}
	}
	b.ReportAllocs()
	for range b.N {
		p.SetPeerLoads(now, "peer", loads)
	}
}
