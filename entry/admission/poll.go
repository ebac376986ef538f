package admission

import (
	"context"
	"fmt"
	"time"

	"crocusfold.dev/core/upstream"
	"crocusfold.dev/entry/message"
	"crocusfold.dev/shell/jsoncall"
)

// poll asks an upstream for its load; ok is false if it did not answer.
func (f *Admission) poll(ctx context.Context, u upstream.Upstream) (message.Load, bool) {
	sp := f.sponsored(u.Name)
	ctx, cancel := context.WithTimeout(ctx, pollLimit)
	defer cancel()
	var rep struct {
		Incarnation string `json:"incarnation"`
		Running     int    `json:"running"`
		Version     string `json:"version"`
		Backlog     int    `json:"backlog-millis"`
	}
	if err := f.get(ctx, u, "/load", &rep); err != nil {
		return message.Load{}, false
	}
	version := uint64(0)
	if !u.Service {
		version = message.Digest(rep.Version)
		f.pollCache(ctx, u, sp)
		f.reconcile(context.WithoutCancel(ctx), u, rep.Version)
	}
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	if old := sp.ramp.Incarnation(); old != rep.Incarnation {
		_ = f.Logger.Log("msg", "An upstream has a new incarnation and is cold.", "upstream", u.Name, "incarnation", rep.Incarnation)
	}
	sp.ramp.Observe(now, rep.Incarnation, rep.Running)
	return message.Load{
		Upstream: message.Digest(u.Name), Incarnation: message.Digest(rep.Incarnation),
		Version: version, Running: rep.Running, BacklogMillis: rep.Backlog, Warm: sp.ramp.Warm(now),
	}, true
}

// Probe reports the digest of the upstream's incarnation now.
func (f *Admission) Probe(ctx context.Context, u upstream.Upstream) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, pollLimit)
	defer cancel()
	var rep struct {
		Incarnation string `json:"incarnation"`
	}
	err := f.get(ctx, u, "/load", &rep)
	return message.Digest(rep.Incarnation), err
}

func (f *Admission) get(ctx context.Context, u upstream.Upstream, path string, out any) error {
	if err := jsoncall.Get(ctx, f.Client, "http://"+u.Address.String()+path, out); err != nil {
		return fmt.Errorf("reading a report of %s: %w", u.Name, err)
	}
	return nil
}
