package codec

import (
	"testing"

	"crocusfold.dev/core/change"
	"crocusfold.dev/core/order"
)

// FuzzDecode decodes arbitrary bytes, as the log may return. A record that decodes must
// encode again; the encoding of a configuration record must decode as well.
func FuzzDecode(f *testing.F) {
	for _, rec := range []change.Record{
		change.Heartbeat{Issuer: "a", Seq: 1},
		change.Change{ID: "x", Steps: []change.Step{{Key: "drain/dc", Value: change.Value{Drain: true}}}},
		change.Snapshot{Next: 3, Objects: []change.Object{{Key: "drain/dc"}}},
	} {
		raw, err := Changes.Encode(rec)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(raw)
	}
	raw, err := Orders.Encode(order.Settled{Claim: "c", Response: order.Response{Status: 200}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(raw)
	f.Fuzz(func(t *testing.T, raw []byte) {
		if rec, err := Changes.Decode(raw); err == nil {
			again, err := Changes.Encode(rec)
			if err != nil {
				t.Fatal(err)
			}
			if _, err := Changes.Decode(again); err != nil {
				t.Fatal(err)
			}
		}
		if rec, err := Orders.Decode(raw); err == nil {
			if _, err := Orders.Encode(rec); err != nil {
				t.Fatal(err)
			}
		}
	})
}
