package ledger

import (
	"flag"
	"os"
	"testing"
)

// seed makes the random histories the same in each run; -rapid.seed overrides it.
const seed = "20261204"

func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f != nil && f.Value.String() == "0" {
		if err := f.Value.Set(seed); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
