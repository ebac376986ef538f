package settings

import (
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

type sample struct {
	Name    string         `json:"name" required:"true"`
	Address netip.AddrPort `json:"address"`
	Wait    time.Duration  `json:"wait"`
	Count   int            `json:"count" min:"1"`
	Kind    string         `json:"kind" enum:"a,b"`
	Parts   []sample       `json:"parts"`
}

// TestAllFaults checks that all faults of a file are reported, each with its line.
func TestAllFaults(t *testing.T) {
	is := is.New(t)
	var s sample
	err := Parse("f.yaml", []byte("address: here\nwait: 3\ncount: 0\nkind: c\nparts:\n  - size: 1\n"), &s)
	is.True(err != nil)
	for _, want := range []string{
		"f.yaml:1: address: ", "f.yaml:2: wait: ", "f.yaml:3: count: ", "f.yaml:4: kind: ",
		"f.yaml:6: parts[0].size: unknown key", "f.yaml:6: parts[0].name: missing", "f.yaml:1: name: missing",
	} {
		is.True(strings.Contains(err.Error(), want)) // all faults are reported
	}
}

// FuzzParse checks that Parse doesn't panic on arbitrary text.
func FuzzParse(f *testing.F) {
	f.Add("name: x\naddress: 127.0.0.1:1\nwait: 1s\nparts:\n  - name: y\n")
	f.Add("a: &a [*a]")
	f.Fuzz(func(_ *testing.T, text string) {
		var s sample
		_ = Parse("f.yaml", []byte(text), &s)
	})
}
