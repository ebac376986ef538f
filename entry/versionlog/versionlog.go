// Package versionlog keeps on the platform's log at which software versions of each service
// streams may have begun.
package versionlog

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"crocusfold.dev/core/versionadmission"
	"crocusfold.dev/entry/adapter"
	"crocusfold.dev/entry/sharedcall"
	"crocusfold.dev/shell/codec"
)

// callTimeout bounds a read or a write.
const callTimeout = 600 * time.Millisecond

// record is a record of the topic: a version, and the processes of its replicas.
type record struct {
	Service   string      `json:"service"`
	Version   string      `json:"version"`
	Processes [][2]uint32 `json:"processes"`
}

var records = codec.NewUnion(codec.Case(1, func(r record) record { return r }))

// VersionLog reads and writes the admitted versions. The exported fields must be set before
// its first use. It is safe for concurrent use.
type VersionLog struct {
	Topic adapter.KeyedTopic
	Now   func() time.Time
	// Load is called with all records of a read, and the era of the log. complete is false if some
	// could not be decoded: a later version of the program may write others.
	Load func(records []versionadmission.Record, complete bool, era uint64)

	reading sharedcall.SharedCall
}

// Read reads all records as of the time asOf or later and passes them to Load. Callers share
// reads, which begin at least interval apart.
func (l *VersionLog) Read(ctx context.Context, asOf time.Time, interval time.Duration) error {
	return l.reading.Do(ctx, l.Now, asOf, interval, callTimeout, func(ctx context.Context, _ time.Time) error {
		all, end, err := l.Topic.Newest(ctx)
		if err != nil {
			return fmt.Errorf("reading the admitted versions: %w", err)
		}
		var out []versionadmission.Record
		complete := true
		for _, raw := range all {
			if len(raw.Value) == 0 {
				continue
			}
			r, err := records.Decode(raw.Value)
			if err != nil {
				complete = false
				continue
			}
			rec := versionadmission.Record{Version: versionadmission.Version{Service: r.Service, Name: r.Version}}
			for _, p := range r.Processes {
				rec.Processes = append(rec.Processes, versionadmission.Process{Replica: p[0], Incarnation: p[1]})
			}
			out = append(out, rec)
		}
		l.Load(out, complete, end.Era)
		return nil
	})
}

// Write makes a change of the admitted versions.
func (l *VersionLog) Write(ctx context.Context, w versionadmission.Write) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var raw []byte
	if !w.Delete {
		r := record{Service: w.Version.Service, Version: w.Version.Name}
		for _, p := range w.Processes {
			r.Processes = append(r.Processes, [2]uint32{p.Replica, p.Incarnation})
		}
		var err error
		if raw, err = records.Encode(r); err != nil {
			return fmt.Errorf("encoding an admitted version: %w", err)
		}
	}
	if err := l.Topic.Put(ctx, key(w.Version), raw); err != nil {
		return fmt.Errorf("writing an admitted version: %w", err)
	}
	return nil
}

// key returns the key of a version, which is short however long its name is.
func key(v versionadmission.Version) string {
	return strconv.FormatUint(xxhash.Sum64String(v.Service+"\x00"+v.Name), 16)
}
