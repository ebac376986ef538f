// Package deployment runs the processes of an example on a network in memory,
// so that failures can be provoked between any two of them.
package deployment

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"path/filepath"
	"slices"
	"sort"
	"sync"
	"time"

	"github.com/go-kit/log"

	"crocusfold.dev/core/change"
	"crocusfold.dev/core/intent"
	"crocusfold.dev/core/plan"
	"crocusfold.dev/entry/config"
	"crocusfold.dev/entry/gateway"
	"crocusfold.dev/entry/node"
	"crocusfold.dev/shell/network"
	"crocusfold.dev/shell/settings"
	"crocusfold.dev/standin/fault"
	"crocusfold.dev/standin/memnet"
	"crocusfold.dev/standin/testbed"
)

// Limits of waiting.
const (
	readyLimit = 30 * time.Second
	readyPause = 100 * time.Millisecond
	// lingerLimit is longer than any deadline of a background call.
	lingerLimit = 3 * time.Minute
)

// Deployment is a running example.
type Deployment struct {
	Net    *memnet.Net
	Intent intent.Intent
	stage  testbed.Testbed
	nodes  map[string]*running
	client *http.Client
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
	logger log.Logger
}

type running struct {
	cfg    config.Settings
	cancel context.CancelFunc
	done   chan struct{}
}

// Start runs the example in a directory and returns once the operators' intent
// is in force on all instances. A retention above 0 replaces that of the log.
func Start(dir string, retention time.Duration, logger log.Logger) (*Deployment, error) {
	d := &Deployment{Net: &memnet.Net{}, nodes: map[string]*running{}, logger: logger}
	d.ctx, d.cancel = context.WithCancel(context.Background())
	transport := d.Net.Host("caller").Transport()
	transport.DisableKeepAlives = true
	d.client = &http.Client{Transport: transport}
	if err := settings.Load(filepath.Join(dir, "stand-ins.yaml"), &d.stage); err != nil {
		return nil, fmt.Errorf("starting a deployment: %w", err)
	}
	if err := settings.Load(filepath.Join(dir, "intent.yaml"), &d.Intent); err != nil {
		return nil, fmt.Errorf("starting a deployment: %w", err)
	}
	if retention > 0 {
		d.stage.Logs[0].Retention = retention
	}
	d.wg.Go(func() {
		_ = d.stage.Run(d.ctx, func(name string) network.Network { return d.Net.Host(name) })
	})
	files, err := filepath.Glob(filepath.Join(dir, "entry-*.yaml"))
	if err != nil {
		return nil, fmt.Errorf("starting a deployment: %w", err)
	}
	for _, file := range files {
		cfg, err := config.Load(file)
		if err != nil {
			return nil, fmt.Errorf("starting a deployment: %w", err)
		}
		d.startNode(cfg)
	}
	return d, d.begin()
}

func (d *Deployment) startNode(cfg config.Settings) {
	ctx, cancel := context.WithCancel(d.ctx)
	r := &running{cfg, cancel, make(chan struct{})}
	d.nodes[cfg.Name] = r
	n := node.NewNode(cfg, d.Net.Host(cfg.Name), log.With(d.logger, "at", log.TimestampFormat(time.Now, time.StampMilli), "instance", cfg.Name))
	d.wg.Go(func() {
		defer close(r.done)
		if err := n.Run(ctx); err != nil {
			_ = d.logger.Log("msg", "an instance failed", "err", err)
		}
	})
}

// begin confirms the intent and waits until all instances are ready.
func (d *Deployment) begin() error {
	time.Sleep(readyPause)
	if _, err := d.Confirm(d.Names()[0], d.Plan("set-up", d.State(d.Names()[0]), d.Intent)); err != nil {
		return err
	}
	for _, name := range d.Names() {
		if !d.WaitReady(name) {
			return fmt.Errorf("instance %s did not get ready", name)
		}
	}
	return nil
}

// Stop ends everything.
func (d *Deployment) Stop() {
	d.cancel()
	d.wg.Wait()
	d.client.CloseIdleConnections()
	// What still waits for a deadline of its own ends within this time.
	time.Sleep(lingerLimit)
}

// Names lists the instances that run.
func (d *Deployment) Names() []string {
	var names []string
	for n := range d.nodes {
		names = append(names, n)
	}
	sort.Strings(names)
	return names
}

// Kill ends an instance without notice.
func (d *Deployment) Kill(name string) {
	d.Net.Kill(name)
	d.nodes[name].cancel()
}

// Leave stops an instance gracefully and returns when it has ended.
func (d *Deployment) Leave(name string) {
	d.nodes[name].cancel()
	<-d.nodes[name].done
}

// Restart starts an instance again, with nothing kept.
func (d *Deployment) Restart(name string) {
	<-d.nodes[name].done
	d.Net.Revive(name)
	d.startNode(d.nodes[name].cfg)
}

// WaitReady waits until an instance is ready.
func (d *Deployment) WaitReady(name string) bool {
	for end := time.Now().Add(readyLimit); time.Now().Before(end); time.Sleep(readyPause) {
		if d.Ready(name) {
			return true
		}
	}
	return false
}

// Ready asks an instance whether it is ready.
func (d *Deployment) Ready(name string) bool {
	resp, err := d.Do(Call{Entry: name, Method: http.MethodGet, Path: "/readyz"})
	return err == nil && resp.Status == http.StatusOK
}

// Call is one request of a caller.
type Call struct {
	Entry, Method, Path, Account string
	Headers                      map[string]string
	Body                         []byte
}

// Answer is what a caller got.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	// Broken is true if the body did not end as its framing demands.
	Broken bool
}

// Do sends a caller's request.
func (d *Deployment) Do(c Call) (Answer, error) {
	return d.send(d.nodes[c.Entry].cfg.Listen, c, "token-"+c.Account)
}

func (d *Deployment) send(to netip.AddrPort, c Call, token string) (Answer, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, c.Method, "http://"+to.String()+c.Path, bytes.NewReader(c.Body))
	if err != nil {
		return Answer{}, fmt.Errorf("preparing a call: %w", err)
	}
	req.Header.Set("Authorization", "Bearer "+token)
	for k, v := range c.Headers {
		req.Header.Set(k, v)
	}
	resp, err := d.client.Do(req)
	if err != nil {
		return Answer{}, fmt.Errorf("calling %s: %w", to, err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return Answer{resp.StatusCode, resp.Header, body, err != nil}, nil
}

// State returns what an instance has in force.
func (d *Deployment) State(name string) change.Snapshot {
	var snap change.Snapshot
	_ = d.Operator(name, http.MethodGet, "/operator/state", nil, &snap)
	return snap
}

// Plan makes a plan on a state.
func (d *Deployment) Plan(id string, on change.Snapshot, wanted intent.Intent) change.Change {
	return plan.New(time.Now(), id, "operator", on.Next, on.Objects, wanted).Change
}

// DrainPlan makes a plan that drains a target or lets it return.
func (d *Deployment) DrainPlan(id string, on change.Snapshot, target string, out bool) change.Change {
	step := change.Step{Key: "drain/" + target, Value: change.Value{Drain: out}}
	for _, o := range on.Objects {
		if o.Key == step.Key {
			step.Base = o.Version
		}
	}
	return change.Change{ID: id, Operator: "operator", Made: time.Now(), Steps: []change.Step{step}}
}

// Confirm puts a change into force through an instance.
func (d *Deployment) Confirm(name string, c change.Change) (gateway.ConfirmResponse, error) {
	var done gateway.ConfirmResponse
	err := d.Operator(name, http.MethodPost, "/operator/changes", c, &done)
	return done, err
}

// Operator calls an instance's operator interface.
func (d *Deployment) Operator(name, method, path string, in, out any) error {
	raw, err := json.Marshal(in)
	if err != nil {
		return fmt.Errorf("encoding an operator's call: %w", err)
	}
	cfg := d.nodes[name].cfg
	ans, err := d.send(cfg.Listen, Call{Method: method, Path: path, Body: raw}, cfg.OperatorToken)
	if err != nil {
		return err
	}
	if ans.Status != http.StatusOK {
		return fmt.Errorf("%s", bytes.TrimSpace(ans.Body))
	}
	return json.Unmarshal(ans.Body, out)
}

// StandIn calls a stand-in's own interface.
func (d *Deployment) StandIn(name, method, path string, body []byte) ([]byte, error) {
	address, ok := d.address(name)
	if !ok {
		return nil, fmt.Errorf("there is no stand-in %q", name)
	}
	ans, err := d.send(address, Call{Method: method, Path: path, Body: body}, "")
	return ans.Body, err
}

// Fault replaces the faults of a stand-in.
func (d *Deployment) Fault(name, faults string) error {
	_, err := d.StandIn(name, http.MethodPut, fault.Path, []byte(faults))
	return err
}

func (d *Deployment) address(name string) (netip.AddrPort, bool) {
	switch name {
	case "log":
		return d.stage.Logs[0].Listen, true
	case "instance-list":
		return d.stage.InstanceLists[0].Listen, true
	}
	for _, e := range d.stage.Engines {
		if e.Name == name {
			return e.Listen, true
		}
	}
	for _, p := range slices.Concat(d.stage.Services, d.stage.KVStores, d.stage.WeightStores) {
		if p.Name == name {
			return p.Listen, true
		}
	}
	return netip.AddrPort{}, false
}

// Engines lists the engines in the order of the file.
func (d *Deployment) Engines() []testbed.Engine { return d.stage.Engines }

// Services lists the plain services in the order of the file.
func (d *Deployment) Services() []testbed.Endpoint { return d.stage.Services }
