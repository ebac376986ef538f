package command

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

const metricsPage = `# TYPE crocusfold_proof_age_seconds gauge
crocusfold_proof_age_seconds 1.5
# TYPE crocusfold_duty_held gauge
crocusfold_duty_held 1
# TYPE crocusfold_requests counter
crocusfold_requests{class="plain",kind="streaming",outcome="ok"} 90
crocusfold_requests{class="none",kind="unknown",outcome="route-unknown"} 4
crocusfold_requests{class="plain",kind="streaming",outcome="full"} 3
crocusfold_requests{class="isolated",kind="streaming",outcome="full"} 3
`

// TestParseState: outcomes add up over kinds and classes of accounts.
func TestParseState(t *testing.T) {
	is := is.New(t)
	st, err := parseState(strings.NewReader(metricsPage))
	is.NoErr(err)
	is.Equal(st, instanceState{proofAge: 1.5, requests: 100, served: 90, isLeader: true, topOther: "full", topOtherCount: 6})
}

func TestParseStateOfNoMetrics(t *testing.T) {
	_, err := parseState(strings.NewReader("<html>"))
	is.New(t).True(err != nil)
}
