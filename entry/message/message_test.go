package message

import "testing"

// FuzzDecode feeds what may come from a peer; what decodes must encode again.
func FuzzDecode(f *testing.F) {
	for _, m := range []Message{ReportQuery{}, Loads{Seq: 1, Loads: []Load{{Running: 2}}}, ClaimRequest{Claim: "c"}, CrashOutcomes{}} {
		raw, err := Codec.Encode(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(raw)
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		m, err := Codec.Decode(raw)
		if err != nil {
			return
		}
		if _, err := Codec.Encode(m); err != nil {
			t.Fatal(err)
		}
	})
}
