// Package trace makes, writes and reads traces of returning prompts. A trace is
// a file of JSON, one record a line, in the order of time.
package trace

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"sort"
	"time"
)

// Record is a request, or the beginning or end of an outage.
type Record struct {
	// At is the time since the start of the trace.
	At time.Duration `json:"at"`
	// Session and Account are empty for an outage.
	Session string `json:"session,omitempty"`
	Account string `json:"account,omitempty"`
	// Blocks is the length of the prompt, Tokens that of the answer.
	Blocks int `json:"blocks,omitempty"`
	Tokens int `json:"tokens,omitempty"`
	// OutageStart and Back name a data centre that is taken out or brought back.
	OutageStart string `json:"out,omitempty"`
	OutageEnd   string `json:"back,omitempty"`
	// FailedStore names a store that loses its contents.
	FailedStore string `json:"fails,omitempty"`
}

// Params is what a generator makes a trace of.
type Params struct {
	Hours    float64
	Sessions int
	Accounts int
	// MedianGap is the median time between two requests of a session.
	MedianGap time.Duration
	// MeanBlocks is the mean length of a session's first prompt.
	MeanBlocks float64
	MeanTokens int
	// OutageDataCentre is a data centre that is out for the third quarter of the trace.
	OutageDataCentre string
	// FailedStore is a store that fails in the middle of the trace.
	FailedStore string
}

// Spread of the gaps between requests, as the sigma of a log-normal.
const gapSigma = 1.2

// Generate makes a trace. Equal seeds give equal traces.
func Generate(p Params, seed uint64) []Record {
	r := rand.New(rand.NewPCG(seed, seed))
	end := time.Duration(p.Hours * float64(time.Hour))
	var records []Record
	for i := range p.Sessions {
		// A few accounts have most of the sessions.
		account := int(float64(p.Accounts) * math.Pow(r.Float64(), 3))
		at := time.Duration(r.Float64() * float64(p.MedianGap) * 3)
		blocks := 1 + int(r.ExpFloat64()*p.MeanBlocks)
		for at < end {
			records = append(records, Record{
				At: at, Session: fmt.Sprintf("session-%d", i), Account: fmt.Sprintf("account-%d", account),
				Blocks: min(blocks, 60), Tokens: 1 + int(r.ExpFloat64()*float64(p.MeanTokens)),
			})
			at += time.Duration(float64(p.MedianGap) * math.Exp(r.NormFloat64()*gapSigma))
			blocks += r.IntN(3)
		}
	}
	if p.OutageDataCentre != "" {
		records = append(records, Record{At: end / 2, OutageStart: p.OutageDataCentre}, Record{At: end * 3 / 4, OutageEnd: p.OutageDataCentre})
	}
	if p.FailedStore != "" {
		records = append(records, Record{At: end / 3, FailedStore: p.FailedStore})
	}
	sort.SliceStable(records, func(i, j int) bool { return records[i].At < records[j].At })
	return records
}

// Write writes a trace.
func Write(w io.Writer, records []Record) error {
	out := json.NewEncoder(w)
	for _, r := range records {
		if err := out.Encode(r); err != nil {
			return fmt.Errorf("writing a trace: %w", err)
		}
	}
	return nil
}

// Read reads a trace and checks its order.
func Read(r io.Reader) ([]Record, error) {
	var records []Record
	lines := bufio.NewScanner(r)
	for n := 1; lines.Scan(); n++ {
		var rec Record
		if err := json.Unmarshal(lines.Bytes(), &rec); err != nil {
			return nil, fmt.Errorf("line %d of the trace: %w", n, err)
		}
		if len(records) > 0 && rec.At < records[len(records)-1].At {
			return nil, fmt.Errorf("line %d of the trace: it is earlier than the line before", n)
		}
		records = append(records, rec)
	}
	if err := lines.Err(); err != nil {
		return nil, fmt.Errorf("reading a trace: %w", err)
	}
	return records, nil
}
