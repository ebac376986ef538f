package admission

import (
	"context"
	"fmt"
	"time"

	"crocusfold.dev/core/loadlimit"
	"crocusfold.dev/core/roster"
	"crocusfold.dev/core/upstream"
	"crocusfold.dev/entry/message"
	"crocusfold.dev/entry/peerrpc"
	"crocusfold.dev/shell/jsoncall"
)

// Times for loading weights.
const (
	// loadTimeout limits the request for a permit and the load together.
	loadTimeout = 8 * time.Second
	// loadHandoverDelay is how long an instance that becomes the owner of the load
	// limit waits before it grants its first permit.
	loadHandoverDelay = 3 * time.Second
)

// loadLimitKey is the key whose owner limits the concurrent loads of weights.
const loadLimitKey = "weight-loads"

// loadCommand is the body of a command to an engine to load a weight version.
type loadCommand struct {
	Version string `json:"version"`
	// Fence is the fencing token: the offset of the configuration that the command is
	// based on. It grows in log order, so that a command that was delayed by a pause of
	// this process carries a lower token than later ones.
	Fence uint64 `json:"fence"`
}

// reconcile has an engine load the weight version that the intent states, if the engine
// reports another one. It is called for each report, so that an engine that ignores
// fencing tokens and obeyed an outdated command is corrected.
func (a *Admission) reconcile(ctx context.Context, u upstream.Upstream, reported string) {
	desired, ok := a.desiredVersion(u)
	if !ok || desired == reported || reported == "" {
		return
	}
	if !a.startLoad(u.Name) {
		return
	}
	go func() {
		defer a.endLoad(u.Name)
		ctx, cancel := context.WithTimeout(ctx, loadTimeout)
		defer cancel()
		if err := a.load(ctx, u); err != nil {
			_ = a.Logger.Log("msg", "An engine did not load its weights.", "upstream", u.Name, "version", desired, "err", err)
		}
	}()
}

// desiredVersion returns the weight version that the intent states for an engine. It
// returns false if no workload with a model has the engine's role.
func (a *Admission) desiredVersion(u upstream.Upstream) (string, bool) {
	for _, w := range a.Follower.View().Intent.Works {
		if w.Role == u.Role && w.Model != "" {
			return w.Version, true
		}
	}
	return "", false
}

// startLoad reports whether a load command may be sent to an engine, and if so, marks
// the engine as loading. This instance sends an engine one command at a time.
func (a *Admission) startLoad(name string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.loading[name] {
		return false
	}
	a.loading[name] = true
	return true
}

func (a *Admission) endLoad(name string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.loading, name)
}

// load gets a permit and sends the load command. The desired version is looked up again
// after the permit is granted, right before the command is sent. load returns nil
// without sending it if no instance is live, the permit is refused, no version is
// desired any more, or the configuration does not allow new work.
func (a *Admission) load(ctx context.Context, u upstream.Upstream) error {
	owner, ok := roster.Owner(loadLimitKey, a.Follower.Live(time.Now()))
	if !ok {
		return nil
	}
	resp, err := peerrpc.Call[message.PermitResponse](ctx, a.Endpoint, owner, message.LoadPermit{Upstream: u.Name})
	if err != nil {
		return fmt.Errorf("requesting a permit to load weights: %w", err)
	}
	if !resp.Granted {
		return nil
	}
	defer func() {
		ctx, cancel := context.WithTimeout(context.Background(), permitTimeout)
		defer cancel()
		_, _ = a.Endpoint.Call(ctx, owner, message.LoadPermit{Upstream: u.Name, Release: true})
	}()
	desired, ok := a.desiredVersion(u)
	if !ok || !a.Follower.AllowsNewWork(time.Now()) {
		return nil
	}
	return a.sendLoadCommand(ctx, u, loadCommand{desired, a.Follower.View().Offset})
}

func (a *Admission) sendLoadCommand(ctx context.Context, u upstream.Upstream, cmd loadCommand) error {
	if err := jsoncall.Post(ctx, a.Client, "http://"+u.Address.String()+"/orders", cmd, nil); err != nil {
		return fmt.Errorf("sending a load command to %s: %w", u.Name, err)
	}
	_ = a.Logger.Log("msg", "An engine loaded weights.", "upstream", u.Name, "version", cmd.Version, "fence", cmd.Fence)
	return nil
}

// grantLoadPermit grants or releases an engine's permit to load weights, and reports
// whether it did. It refuses permits for loadHandoverDelay after the first request,
// since those of the previous owner may still be in use.
func (a *Admission) grantLoadPermit(now time.Time, m message.LoadPermit) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.loadLimit == nil {
		a.loadLimit = &loadlimit.LoadLimit{NotBefore: now.Add(loadHandoverDelay)}
	}
	if m.Release {
		a.loadLimit.Release(m.Upstream)
		return true
	}
	return a.loadLimit.Permit(now, m.Upstream)
}
