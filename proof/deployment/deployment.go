// Package deployment runs an example deployment in one process: its entry instances
// and its stand-ins, each on its own host of an in-memory network. Tests can cut the
// traffic between any two hosts, kill instances and inject faults into stand-ins.
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

const (
	// readyTimeout is how long WaitReady waits for an instance.
	readyTimeout = 30 * time.Second
	pollInterval = 100 * time.Millisecond
	// gracePeriod is how long Stop waits for background calls. It is longer than any
	// of their deadlines.
	gracePeriod = 3 * time.Minute
)

// Deployment is a running example.
type Deployment struct {
	Net       *memnet.Net
	Intent    intent.Intent
	standIns  testbed.Testbed
	instances map[string]*instance
	client    *http.Client
	ctx       context.Context
	cancel    context.CancelFunc
	wg        sync.WaitGroup
	logger    log.Logger
}

// instance is an entry instance, running or stopped.
type instance struct {
	cfg    config.Settings
	cancel context.CancelFunc
	// done is closed when the instance's Run has returned.
	done chan struct{}
}

// Start runs the example in a directory, confirms its intent and returns once all
// instances are ready. A retention above 0 replaces that of the stand-in log. If the
// intent can't be confirmed or an instance does not get ready, Start returns the
// Deployment with the error, and the caller must stop it.
func Start(dir string, retention time.Duration, logger log.Logger) (*Deployment, error) {
	d := &Deployment{Net: &memnet.Net{}, instances: map[string]*instance{}, logger: logger}
	d.ctx, d.cancel = context.WithCancel(context.Background())
	transport := d.Net.Host("caller").Transport()
	transport.DisableKeepAlives = true
	d.client = &http.Client{Transport: transport}
	if err := settings.Load(filepath.Join(dir, "stand-ins.yaml"), &d.standIns); err != nil {
		return nil, fmt.Errorf("starting a deployment: %w", err)
	}
	if err := settings.Load(filepath.Join(dir, "intent.yaml"), &d.Intent); err != nil {
		return nil, fmt.Errorf("starting a deployment: %w", err)
	}
	if retention > 0 {
		d.standIns.Logs[0].Retention = retention
	}
	d.wg.Go(func() {
		_ = d.standIns.Run(d.ctx, func(name string) network.Network { return d.Net.Host(name) })
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
		d.startInstance(cfg)
	}
	return d, d.confirmIntent()
}

func (d *Deployment) startInstance(cfg config.Settings) {
	ctx, cancel := context.WithCancel(d.ctx)
	inst := &instance{cfg, cancel, make(chan struct{})}
	d.instances[cfg.Name] = inst
	n := node.NewNode(cfg, d.Net.Host(cfg.Name), log.With(d.logger, "at", log.TimestampFormat(time.Now, time.StampMilli), "instance", cfg.Name))
	d.wg.Go(func() {
		defer close(inst.done)
		if err := n.Run(ctx); err != nil {
			_ = d.logger.Log("msg", "an instance failed", "err", err)
		}
	})
}

// confirmIntent confirms the intent and waits until all instances are ready.
func (d *Deployment) confirmIntent() error {
	time.Sleep(pollInterval)
	if _, err := d.Confirm(d.InstanceNames()[0], d.Plan("set-up", d.State(d.InstanceNames()[0]), d.Intent)); err != nil {
		return err
	}
	for _, name := range d.InstanceNames() {
		if !d.WaitReady(name) {
			return fmt.Errorf("instance %s not ready in time", name)
		}
	}
	return nil
}

// Stop stops all instances and stand-ins and waits until they have ended.
func (d *Deployment) Stop() {
	d.cancel()
	d.wg.Wait()
	d.client.CloseIdleConnections()
	// Background calls that outlive their instance end at their deadlines.
	time.Sleep(gracePeriod)
}

// InstanceNames returns the sorted names of all instances, including stopped ones.
func (d *Deployment) InstanceNames() []string {
	var names []string
	for n := range d.instances {
		names = append(names, n)
	}
	sort.Strings(names)
	return names
}

// Kill crashes an instance: its connections break at once, and nothing that it still
// does reaches another host.
func (d *Deployment) Kill(name string) {
	d.Net.Kill(name)
	d.instances[name].cancel()
}

// Shutdown stops an instance gracefully and returns when it has stopped.
func (d *Deployment) Shutdown(name string) {
	d.instances[name].cancel()
	<-d.instances[name].done
}

// Restart starts a killed or stopped instance again, with empty state. It first waits
// until the old one has stopped.
func (d *Deployment) Restart(name string) {
	<-d.instances[name].done
	d.Net.Revive(name)
	d.startInstance(d.instances[name].cfg)
}

// WaitReady waits until an instance is ready. It returns false if that takes longer
// than readyTimeout.
func (d *Deployment) WaitReady(name string) bool {
	for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline); time.Sleep(pollInterval) {
		if d.Ready(name) {
			return true
		}
	}
	return false
}

// Ready reports whether an instance's readiness check succeeds.
func (d *Deployment) Ready(name string) bool {
	resp, err := d.Do(Request{Instance: name, Method: http.MethodGet, Path: "/readyz"})
	return err == nil && resp.Status == http.StatusOK
}

// Request is a caller's HTTP request to an instance, with the API key of Account.
type Request struct {
	Instance, Method, Path, Account string
	Headers                         map[string]string
	Body                            []byte
}

// Response is the HTTP response to a Request.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// Truncated means that the connection broke before the end of the body.
	Truncated bool
}

// Do sends a caller's request and returns the response, whatever its status. The API
// key of an account of the examples is "token-" and its name.
func (d *Deployment) Do(r Request) (Response, error) {
	return d.send(d.instances[r.Instance].cfg.Listen, r, "token-"+r.Account)
}

func (d *Deployment) send(addr netip.AddrPort, r Request, token string) (Response, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, r.Method, "http://"+addr.String()+r.Path, bytes.NewReader(r.Body))
	if err != nil {
		return Response{}, fmt.Errorf("preparing a request: %w", err)
	}
	req.Header.Set("Authorization", "Bearer "+token)
	for k, v := range r.Headers {
		req.Header.Set(k, v)
	}
	resp, err := d.client.Do(req)
	if err != nil {
		return Response{}, fmt.Errorf("calling %s: %w", addr, err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return Response{resp.StatusCode, resp.Header, body, err != nil}, nil
}

// State returns the configuration that is in force on an instance, or an empty one if
// the request fails.
func (d *Deployment) State(name string) change.Snapshot {
	var snap change.Snapshot
	_ = d.CallOperator(name, http.MethodGet, "/operator/state", nil, &snap)
	return snap
}

// Plan returns the change that leads from the state snap to the intent wanted.
func (d *Deployment) Plan(id string, snap change.Snapshot, wanted intent.Intent) change.Change {
	return plan.New(time.Now(), id, "operator", snap.Next, snap.Objects, wanted).Change
}

// DrainPlan returns a change, based on the state snap, that drains a target (a data
// centre or an upstream) or, if drain is false, takes it back into service.
func (d *Deployment) DrainPlan(id string, snap change.Snapshot, target string, drain bool) change.Change {
	step := change.Step{Key: "drain/" + target, Value: change.Value{Drain: drain}}
	for _, o := range snap.Objects {
		if o.Key == step.Key {
			step.Base = o.Version
		}
	}
	return change.Change{ID: id, Operator: "operator", Made: time.Now(), Steps: []change.Step{step}}
}

// Confirm confirms a change through an instance's operator interface.
func (d *Deployment) Confirm(name string, c change.Change) (gateway.ConfirmResponse, error) {
	var resp gateway.ConfirmResponse
	err := d.CallOperator(name, http.MethodPost, "/operator/changes", c, &resp)
	return resp, err
}

// CallOperator sends in as JSON to an instance's operator interface and decodes the
// response into out. If the status is not 200, the error text is the response body, so
// that callers can decode it.
func (d *Deployment) CallOperator(name, method, path string, in, out any) error {
	raw, err := json.Marshal(in)
	if err != nil {
		return fmt.Errorf("encoding an operator request: %w", err)
	}
	cfg := d.instances[name].cfg
	resp, err := d.send(cfg.Listen, Request{Method: method, Path: path, Body: raw}, cfg.OperatorToken)
	if err != nil {
		return err
	}
	if resp.Status != http.StatusOK {
		return fmt.Errorf("%s", bytes.TrimSpace(resp.Body))
	}
	return json.Unmarshal(resp.Body, out)
}

// CallStandIn sends a request to a stand-in's control interface and returns the
// response body, whatever the status.
func (d *Deployment) CallStandIn(name, method, path string, body []byte) ([]byte, error) {
	addr, ok := d.standInAddress(name)
	if !ok {
		return nil, fmt.Errorf("unknown stand-in %q", name)
	}
	resp, err := d.send(addr, Request{Method: method, Path: path, Body: body}, "")
	return resp.Body, err
}

// SetFaults replaces the faults of a stand-in. They are a JSON object with the keys of
// its Faults type.
func (d *Deployment) SetFaults(name, faults string) error {
	_, err := d.CallStandIn(name, http.MethodPut, fault.Path, []byte(faults))
	return err
}

func (d *Deployment) standInAddress(name string) (netip.AddrPort, bool) {
	switch name {
	case "log":
		return d.standIns.Logs[0].Listen, true
	case "instance-list":
		return d.standIns.InstanceLists[0].Listen, true
	}
	for _, e := range d.standIns.Engines {
		if e.Name == name {
			return e.Listen, true
		}
	}
	for _, p := range slices.Concat(d.standIns.Services, d.standIns.KVStores, d.standIns.WeightStores) {
		if p.Name == name {
			return p.Listen, true
		}
	}
	return netip.AddrPort{}, false
}

// Engines returns the stand-in engines in the order of stand-ins.yaml.
func (d *Deployment) Engines() []testbed.Engine { return d.standIns.Engines }

// Services returns the stand-ins of plain services in the order of stand-ins.yaml.
func (d *Deployment) Services() []testbed.Endpoint { return d.standIns.Services }
