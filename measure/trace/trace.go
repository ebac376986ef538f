// Package trace generates, writes and reads traces of sessions whose prompts extend
// earlier ones. A trace file has one JSON record per line, ordered by time.
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

// Record is a request, the start or end of an outage, or the failure of a store.
type Record struct {
	// At is the time since the start of the trace.
	At time.Duration `json:"at"`
	// Session and Account are set for requests only.
	Session string `json:"session,omitempty"`
	Account string `json:"account,omitempty"`
	// Blocks is the length of the prompt in blocks, and Tokens that of the response in
	// tokens.
	Blocks int `json:"blocks,omitempty"`
	Tokens int `json:"tokens,omitempty"`
	// OutageStart and OutageEnd name the data centre whose outage starts or ends.
	OutageStart string `json:"out,omitempty"`
	OutageEnd   string `json:"back,omitempty"`
	// FailedStore names the store that loses its contents.
	FailedStore string `json:"fails,omitempty"`
}

// Params are the parameters of a generated trace.
type Params struct {
	Hours    float64
	Sessions int
	Accounts int
	// MedianGap is the median time between two requests of a session.
	MedianGap time.Duration
	// MeanBlocks is the mean length of a session's first prompt in blocks, and
	// MeanTokens that of a response in tokens.
	MeanBlocks float64
	MeanTokens int
	// OutageDataCentre has an outage in the third quarter of the trace; empty means no
	// outage.
	OutageDataCentre string
	// FailedStore loses its contents after the first third of the trace; empty means no
	// failure.
	FailedStore string
}

// gapSigma is the sigma of the log-normal distribution of the gaps between requests.
const gapSigma = 1.2

// Generate returns a trace ordered by time. Equal parameters and seeds give equal traces.
func Generate(p Params, seed uint64) []Record {
	r := rand.New(rand.NewPCG(seed, seed))
	end := time.Duration(p.Hours * float64(time.Hour))
	var records []Record
	for i := range p.Sessions {
		// The cube skews the distribution: a few accounts have most of the sessions.
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

// Write writes a trace as lines of JSON.
func Write(w io.Writer, records []Record) error {
	out := json.NewEncoder(w)
	for _, r := range records {
		if err := out.Encode(r); err != nil {
			return fmt.Errorf("writing a trace: %w", err)
		}
	}
	return nil
}

// Read reads a trace. It returns an error if a record is earlier than the one before.
func Read(r io.Reader) ([]Record, error) {
	var records []Record
	lines := bufio.NewScanner(r)
	for n := 1; lines.Scan(); n++ {
		var rec Record
		if err := json.Unmarshal(lines.Bytes(), &rec); err != nil {
			return nil, fmt.Errorf("decoding line %d of the trace: %w", n, err)
		}
		if len(records) > 0 && rec.At < records[len(records)-1].At {
			return nil, fmt.Errorf("line %d of the trace is out of order: it is earlier than the line before", n)
		}
		records = append(records, rec)
	}
	if err := lines.Err(); err != nil {
		return nil, fmt.Errorf("reading a trace: %w", err)
	}
	return records, nil
}
