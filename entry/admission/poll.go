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
func (a *Admission) poll(ctx context.Context, u upstream.Upstream) (message.Load, bool) {
	cu := a.getOrAddControlled(u.Name)
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	var rep struct {
		Incarnation string `json:"incarnation"`
		Running     int    `json:"running"`
		Version     string `json:"version"`
		Backlog     int    `json:"backlog-millis"`
	}
	if err := a.get(ctx, u, "/load", &rep); err != nil {
		return message.Load{}, false
	}
	version := uint64(0)
	if !u.Service {
		version = message.Digest(rep.Version)
		a.pollCache(ctx, u, cu)
		a.reconcile(context.WithoutCancel(ctx), u, rep.Version)
	}
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	if old := cu.slowStart.Incarnation(); old != rep.Incarnation {
		_ = a.Logger.Log("msg", "An upstream has a new incarnation and is cold.", "upstream", u.Name, "incarnation", rep.Incarnation)
	}
	cu.slowStart.Observe(now, rep.Incarnation, rep.Running)
	return message.Load{
		Upstream: message.Digest(u.Name), Incarnation: message.Digest(rep.Incarnation),
		Version: version, Running: rep.Running, BacklogMillis: rep.Backlog, Warm: cu.slowStart.Warm(now),
	}, true
}

// Probe reports the digest of the upstream's incarnation now.
func (a *Admission) Probe(ctx context.Context, u upstream.Upstream) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	var rep struct {
		Incarnation string `json:"incarnation"`
	}
	err := a.get(ctx, u, "/load", &rep)
	return message.Digest(rep.Incarnation), err
}

func (a *Admission) get(ctx context.Context, u upstream.Upstream, path string, out any) error {
	if err := jsoncall.Get(ctx, a.Client, "http://"+u.Address.String()+path, out); err != nil {
		return fmt.Errorf("reading a report of %s: %w", u.Name, err)
	}
	return nil
}
