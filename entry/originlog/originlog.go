// Package originlog keeps the origins of streams on the platform's log, where they outlive
// any number of instances. Each instance appends batches of those that began there, and
// reads those of all instances when a caller resumes a stream whose origin it lacks.
package originlog

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"crocusfold.dev/core/topicview"
	"crocusfold.dev/core/writeshare"
	"crocusfold.dev/entry/adapter"
	"crocusfold.dev/entry/message"
	"crocusfold.dev/entry/sharedcall"
	"crocusfold.dev/shell/codec"
)

const (
	// MaxBatch is the largest number of origins in a record.
	MaxBatch = 4096
	// readTimeout bounds reading the origins that this instance lacks.
	readTimeout = 600 * time.Millisecond
	// maxRestarts bounds how often reading a partition begins anew.
	maxRestarts = 3
)

// batch is a record: the digests of the requests that began streams, by their origin.
type batch struct {
	Origins []origin `json:"origins"`
	// Unverified has the origins that hold only for an incarnation of a replica.
	Unverified []unverifiedOrigin `json:"unverified,omitempty"`
}

type origin struct {
	Service  string   `json:"service"`
	Version  string   `json:"version"`
	Requests []uint64 `json:"requests"`
}

type unverifiedOrigin struct {
	Service     string   `json:"service"`
	Version     string   `json:"version"`
	Replica     string   `json:"replica"`
	Incarnation int64    `json:"incarnation"`
	Requests    []uint64 `json:"requests"`
}

var records = codec.NewUnion(codec.Case(1, func(b batch) batch { return b }))

// OriginLog reads and writes the origins on the log. The exported fields must be set before
// its first use. It is safe for concurrent use.
type OriginLog struct {
	// Name is the name of this instance.
	Name    string
	Journal adapter.Journal
	Rates   writeshare.Rates
	Now     func() time.Time
	// Merge is called with the origins of a record that was read. The ages of the connections
	// are not known; they count as opened now.
	Merge func(origins message.StreamOrigins)

	reading sharedcall.SharedCall
	// next has, by partition, the position of the next record to read. It is valid only if
	// located is true. Both are used by one read at a time.
	next    []topicview.Position
	located []bool
}

// Write appends a record with up to MaxBatch origins.
func (l *OriginLog) Write(ctx context.Context, origins message.StreamOrigins) error {
	var b batch
	index := map[[2]string]int{}
	type process struct {
		service, version, replica string
		incarnation               int64
	}
	processes := map[process]int{}
	for _, u := range origins.Unverified {
		key := process{u.Service, u.Version, u.Replica, u.Incarnation}
		i, ok := processes[key]
		if !ok {
			i = len(b.Unverified)
			processes[key] = i
			b.Unverified = append(b.Unverified, unverifiedOrigin{Service: u.Service, Version: u.Version, Replica: u.Replica, Incarnation: u.Incarnation})
		}
		b.Unverified[i].Requests = append(b.Unverified[i].Requests, u.Request)
	}
	for _, o := range origins.Origins {
		key := [2]string{o.Service, o.Version}
		i, ok := index[key]
		if !ok {
			i = len(b.Origins)
			index[key] = i
			b.Origins = append(b.Origins, origin{Service: o.Service, Version: o.Version})
		}
		b.Origins[i].Requests = append(b.Origins[i].Requests, o.Request)
	}
	raw, err := records.Encode(b)
	if err != nil {
		return fmt.Errorf("encoding the origins of streams: %w", err)
	}
	part := int(xxhash.Sum64String(l.Name) % uint64(l.Rates.PartsUsed()))
	if err := l.Journal.Append(ctx, part, raw); err != nil {
		return fmt.Errorf("writing the origins of streams: %w", err)
	}
	return nil
}

// Read reads the origins that were written up to the time asOf and that this instance has
// not read yet, and passes them to Merge. Those older than window may be left out. A read
// that began at asOf or later serves all callers that waited for it; between two reads it
// pauses for as long as one of so many instances must.
func (l *OriginLog) Read(ctx context.Context, asOf time.Time, window time.Duration, instances int) error {
	return l.reading.Do(ctx, l.Now, asOf, l.Rates.Interval(instances), readTimeout, func(ctx context.Context, previous time.Time) error {
		// Records that were not read for so long may be too many to read them all.
		if l.next == nil || l.Now().Sub(previous) > window {
			n := l.Rates.PartsUsed()
			l.next, l.located = make([]topicview.Position, n), make([]bool, n)
		}
		var errs []error
		for part := range l.next {
			errs = append(errs, l.readPart(ctx, part, window))
		}
		return errors.Join(errs...)
	})
}

// readPart reads the rest of a partition. If the log has come back from a copy or no longer
// has the next record, it begins anew.
func (l *OriginLog) readPart(ctx context.Context, part int, window time.Duration) error {
	for restarts := 0; ; {
		if !l.located[part] {
			first, end, err := l.Journal.Extent(ctx, part)
			if err != nil {
				return fmt.Errorf("locating the origins of streams: %w", err)
			}
			l.next[part], l.located[part] = first, true
			if n := l.Rates.MaxRecords(window); end.Offset > n && end.Offset-n > first.Offset {
				l.next[part].Offset = end.Offset - n
			}
		}
		values, next, end, err := l.Journal.Read(ctx, part, l.next[part])
		if errors.Is(err, adapter.ErrOffsetExpired) {
			l.located[part] = false
			if restarts++; restarts <= maxRestarts {
				continue
			}
		}
		if err != nil {
			return fmt.Errorf("reading the origins of streams: %w", err)
		}
		for _, raw := range values {
			l.merge(raw)
		}
		stuck := !l.next[part].Before(next)
		l.next[part] = next
		if stuck || !next.Before(end) {
			return nil
		}
	}
}

// merge passes the origins of a record to Merge. Records that can't be decoded are skipped:
// a later version of the program may write others.
func (l *OriginLog) merge(raw []byte) {
	b, err := records.Decode(raw)
	if err != nil {
		return
	}
	var out message.StreamOrigins
	for _, o := range b.Origins {
		for _, request := range o.Requests {
			out.Origins = append(out.Origins, message.StreamOrigin{Request: request, Service: o.Service, Version: o.Version})
		}
	}
	for _, u := range b.Unverified {
		for _, request := range u.Requests {
			o := message.StreamOrigin{Request: request, Service: u.Service, Version: u.Version}
			out.Unverified = append(out.Unverified, message.UnverifiedOrigin{StreamOrigin: o, Replica: u.Replica, Incarnation: u.Incarnation})
		}
	}
	l.Merge(out)
}
