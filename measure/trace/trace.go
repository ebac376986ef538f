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
	// Out and Back name a data centre that is taken out or brought back.
	Out  string `json:"out,omitempty"`
	Back string `json:"back,omitempty"`
	// Fails names a store that loses its contents.
	Fails string `json:"fails,omitempty"`
}

// Shape is what a generator makes a trace of.
type Shape struct {
	Hours    float64
	Sessions int
	Accounts int
	// Gap is the median time between two requests of a session.
	Gap time.Duration
	// Blocks is the mean length of a session's first prompt.
	Blocks float64
	Tokens int
	// Outage is a data centre that is out for the third quarter of the trace.
	Outage string
	// Store is a store that fails in the middle of the trace.
	Store string
}

// Spread of the gaps between requests, as the sigma of a log-normal.
const gapSpread = 1.2

// Generate makes a trace. Equal seeds give equal traces.
func Generate(s Shape, seed uint64) []Record {
	r := rand.New(rand.NewPCG(seed, seed))
	end := time.Duration(s.Hours * float64(time.Hour))
	var all []Record
	for i := range s.Sessions {
		// A few accounts have most of the sessions.
		account := int(float64(s.Accounts) * math.Pow(r.Float64(), 3))
		at := time.Duration(r.Float64() * float64(s.Gap) * 3)
		blocks := 1 + int(r.ExpFloat64()*s.Blocks)
		for at < end {
			all = append(all, Record{
				At: at, Session: fmt.Sprintf("session-%d", i), Account: fmt.Sprintf("account-%d", account),
				Blocks: min(blocks, 60), Tokens: 1 + int(r.ExpFloat64()*float64(s.Tokens)),
			})
			at += time.Duration(float64(s.Gap) * math.Exp(r.NormFloat64()*gapSpread))
			blocks += r.IntN(3)
		}
	}
	if s.Outage != "" {
		all = append(all, Record{At: end / 2, Out: s.Outage}, Record{At: end * 3 / 4, Back: s.Outage})
	}
	if s.Store != "" {
		all = append(all, Record{At: end / 3, Fails: s.Store})
	}
	sort.SliceStable(all, func(i, j int) bool { return all[i].At < all[j].At })
	return all
}

// Write writes a trace.
func Write(w io.Writer, all []Record) error {
	out := json.NewEncoder(w)
	for _, r := range all {
		if err := out.Encode(r); err != nil {
			return fmt.Errorf("writing a trace: %w", err)
		}
	}
	return nil
}

// Read reads a trace and checks its order.
func Read(r io.Reader) ([]Record, error) {
	var all []Record
	lines := bufio.NewScanner(r)
	for n := 1; lines.Scan(); n++ {
		var rec Record
		if err := json.Unmarshal(lines.Bytes(), &rec); err != nil {
			return nil, fmt.Errorf("line %d of the trace: %w", n, err)
		}
		if len(all) > 0 && rec.At < all[len(all)-1].At {
			return nil, fmt.Errorf("line %d of the trace: it is earlier than the line before", n)
		}
		all = append(all, rec)
	}
	if err := lines.Err(); err != nil {
		return nil, fmt.Errorf("reading a trace: %w", err)
	}
	return all, nil
}
