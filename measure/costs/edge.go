package costs

import (
	"fmt"
	"net/netip"
	"time"

	"crocusfold.dev/core/directory"
	"crocusfold.dev/core/membership"
	"crocusfold.dev/core/peering"
	"crocusfold.dev/core/pool"
	"crocusfold.dev/entry/message"
	"crocusfold.dev/measure/regression"
)

// gossipBytes measures the size of a gossip message by the number of replicas at which
// the sender has requests in flight.
func gossipBytes() regression.Series {
	return regression.Measure("gossip message", "replica", "B", []float64{0, 8, 32}, func(n int) float64 {
		g := message.Gossip{
			Header: peering.Header{
				Name: "edge-cuenca-norte-1", DataCentre: "cuenca-norte", Address: netip.MustParseAddrPort("10.1.0.40:8000"),
			},
			ViewStates: []message.ViewState{{Next: 7, ProofAge: time.Second}, {Next: 15, ProofAge: time.Second}},
		}
		for i := range n {
			g.Loads.Add(fmt.Sprintf("i-%010d", i), 6, 40_000, 2_000, 0)
		}
		return encodedSize(g)
	})
}

// memberBytes measures what each member whose state changed adds to a gossip message. It
// is sent once to each peer.
func memberBytes() regression.Series {
	return regression.Measure("known instances", "instance", "B", []float64{0, 8, 64}, func(n int) float64 {
		g := message.Gossip{}
		for i := range n {
			g.Members = append(g.Members, membership.Entry{
				Name: fmt.Sprintf("edge-cuenca-norte-%03d", i), DataCentre: "cuenca-norte", Address: netip.MustParseAddrPort("10.1.0.40:8000"),
			})
		}
		return encodedSize(g)
	})
}

// chooseTime measures the time to choose a replica for a request.
func chooseTime() regression.Series {
	return regression.Measure("choice", "replica", "us", []float64{12, 60, 240}, func(n int) float64 {
		now := time.Unix(0, 0)
		p := &pool.Pool{DataCentre: "dc-0"}
		for i := range n {
			p.Set(pool.Replica{
				ID: fmt.Sprintf("i-%010d", i), Service: "s", DataCentre: fmt.Sprintf("dc-%d", i%3), Slots: 64,
				Versions: map[string]int{"m": 1},
			})
		}
		req := pool.Request{Service: "s", Model: "m", Memory: 92_125, Tokens: 12_000, PrefillTokens: 3_000, AffinityKey: "part"}
		return meanMicros(2000, func(int) { p.Choose(now, req) })
	})
}

// directoryMemory measures the memory of the directory for each part in a store.
func directoryMemory() regression.Series {
	return regression.Measure("directory memory", "part", "B", []float64{2000, 8000, 32000}, func(n int) float64 {
		return heapGrowth(func() any {
			d := &directory.Directory{}
			d.Configure(map[string]directory.StoreConfig{"store": {Capacity: 1 << 30}})
			salt := directory.Salt("model", 1, "")
			for i := range n {
				part := directory.Part{Salt: salt, ID: fmt.Sprintf("%012x", i)}
				d.Apply("store", 1, uint64(i), false, []directory.Event{{Number: uint64(i), Part: part, Tokens: 800}})
			}
			return d
		})
	})
}
