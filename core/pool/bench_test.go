package pool

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkChoose places prompts on 112 engines, as many as the scaled-up
// deployments have, with loads reported by fifteen peers.
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

// BenchmarkSetPeerLoads merges the loads that a peer reports for 112 replicas.
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

// BenchmarkChooseContended places prompts by the whole response on 120 engines, with loads
// reported by 62 peers and learned times, and a long one among the wide sample. The bound is 20 us.
func BenchmarkChooseContended(b *testing.B) {
	now := time.UnixMilli(1_000_000)
	p := &Pool{DataCentre: "dc-0", Contended: true}
	loads := map[string]Load{}
	for i := range 120 {
		id := fmt.Sprintf("i-%010d", i)
		p.Set(Replica{ID: id, Service: "s", DataCentre: fmt.Sprintf("dc-%d", i%4), Slots: 64, Versions: map[string]int{"m": 1}})
		loads[id] = Load{Running: i % 2, Tokens: 900, PendingPrefill: 100}
	}
	for i := range 62 {
		p.SetPeerLoads(now, fmt.Sprint("peer-", i), loads)
	}
	req := Request{
		Service: "s", Model: "m", Memory: 109_343, Tokens: 1_200, PrefillTokens: 300, AffinityKey: "part",
		Events: 32, Stride: 9, Target: now.Add(500 * time.Millisecond), Deadline: now.Add(10 * time.Second),
	}
	for name, events := range map[string]int{"usual": 32, "long": 106} {
		b.Run(name, func(b *testing.B) {
			req.Events = events
			b.ReportAllocs()
			for i := range b.N {
				req.SampleSeed = uint64(i) | 1
				c, reason := p.Choose(now, req)
				if reason != "" {
					b.Fatal(reason)
				}
				if late := lateness(now, c.Estimate.Answer.Last, req.Deadline) > wideSampleRisk; late != (name == "long") {
					b.Fatal("the other sample is compared")
				}
				p.ObserveGap(now, c, 70*time.Millisecond)
			}
		})
	}
}
