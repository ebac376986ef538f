package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Bounds of the deployment, as the site file of the Austro cooperative states them.
const (
	drainTime    = 2 * time.Second
	configTime   = 2 * time.Second
	contactTime  = 3 * time.Second
	revokeTime   = 5 * time.Second
	evacuateTime = 5 * time.Second
)

// errCannotRun means that a case could not run, which says nothing of the rule.
var errCannotRun = errors.New("the case could not run")

// Deployment is a small deployment on loopback: a store, replicas and instances of
// crocus-edge, which are processes of their own.
type Deployment struct {
	store  *Store
	record *Record
	dir    string
	edges  []*Edge
	seeds  []string
}

// Edge is one process of crocus-edge.
type Edge struct {
	name, front, ready string
	door               *Door
	cmd                *exec.Cmd
	client             *http.Client

	mu    sync.Mutex
	conns map[net.Conn]bool
}

// dial opens a client's channel to the instance, which BreakChannels can break.
func (e *Edge) dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.conns == nil {
		e.conns = map[net.Conn]bool{}
	}
	e.conns[conn] = true
	return conn, nil
}

// BreakChannels breaks all channels of clients to the instance.
func (e *Edge) BreakChannels() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for conn := range e.conns {
		reset(conn)
	}
	e.conns = nil
}

// Record is what a case writes to record.txt.
type Record struct {
	mu    sync.Mutex
	out   *os.File
	start time.Time
}

// Print writes a line with the time since the start.
func (r *Record) Print(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

func listen(host string) net.Listener {
	ln, err := net.Listen("tcp", host+":0")
	if err != nil {
		panic(fmt.Sprintf("no free port: %v", err))
	}
	return ln
}

// freePort returns a port of the host that is free now.
func freePort(host string) string {
	ln := listen(host)
	defer ln.Close()
	return ln.Addr().String()
}

func newDeployment(record *Record) *Deployment {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		panic(err)
	}
	return &Deployment{store: newStore(), record: record, dir: dir}
}

// StartEdge starts an instance with the command of the deploy file and waits until it is
// ready. Each instance has a loopback address of its own, since its metrics port is fixed.
func (d *Deployment) StartEdge(zone string) (*Edge, error) {
	host := fmt.Sprintf("127.%d.%d.%d", 10+rand.IntN(200), rand.IntN(250), 2+rand.IntN(250))
	e := &Edge{name: fmt.Sprintf("edge-%s-%d", zone, len(d.edges)+1), front: freePort(host), ready: freePort(host), door: d.store.OpenDoor()}
	control := freePort(host)
	if len(d.seeds) < 3 {
		d.seeds = append(d.seeds, control)
	}
	settings := map[string]any{
		"node": e.name, "role": "entry", "machineClass": "edge", "trafficClass": []string{"edge", "control_plane"},
		"bindIp": host, "zone": zone, "region": "azuay", "listen": map[string]any{"front": e.front, "ready": e.ready, "control": control},
		"seedAddrs": d.seeds, "bootstrap": true, "heartbeatMs": 1200,
		"limits": map[string]any{"cpuShare": 0.4, "cpuCores": 1, "memoryMb": 284, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0},
		"contractParams": map[string]any{
			"seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "ackMs": 4000, "catchUpS": 4, "drainMs": 2000, "graceS": 8,
			"lossSlackMs": 200, "configMs": 2000, "rollbackSlackMs": 250, "stretchMs": 5000, "strictRevoke": true, "revokeMs": 5000,
			"retryBudget": 0.2, "budgetWindowS": 10, "retrySlack": 56, "coldOvershoot": 1.5, "coldSlack": 5, "evacuateMs": 5000,
			"recoverS": 12, "transitMs": 120, "reuseWindowS": 20, "requireFence": true, "leaseMs": 3000, "thawSlackMs": 300,
			"versionMs": 6000, "versionAllMs": 8400,
		},
		"platform": map[string]any{
			"address": e.door.Address(), "form": "log", "writesPerS": 400, "readsPerS": 2000, "parts": 8, "appendMs": 4.0, "partMbS": 20.0,
			"readMbS": 80.0, "recordBytes": 262144, "callBytes": 2097152, "keep_s": 300, "partMb": 200, "ttlMinMs": 1000,
		},
	}
	raw, err := json.Marshal(settings)
	if err != nil {
		return nil, err
	}
	file := filepath.Join(d.dir, e.name+".json")
	if err := os.WriteFile(file, raw, 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(d.dir, e.name+".log"))
	if err != nil {
		return nil, err
	}
	e.cmd = exec.Command("target/crocus-edge")
	e.cmd.Env = []string{"CROCUSFOLD_CONFIG=" + file, "PATH=" + os.Getenv("PATH"), "HOME=" + d.dir}
	e.cmd.Stdout, e.cmd.Stderr = log, log
	e.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := e.cmd.Start(); err != nil {
		return nil, fmt.Errorf("%w: starting target/crocus-edge: %w", errCannotRun, err)
	}
	e.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256, DialContext: e.dial}}
	d.edges = append(d.edges, e)
	d.record.Print("started %s with target/crocus-edge, front %s", e.name, e.front)
	for deadline := time.Now().Add(15 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		resp, err := e.client.Get("http://" + e.ready + "/api/readiness")
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				d.record.Print("%s is ready", e.name)
				return e, nil
			}
		}
		if time.Now().After(deadline) {
			return nil, fmt.Errorf("%w: %s did not become ready: %s", errCannotRun, e.name, d.logTail(e))
		}
	}
}

// Place returns whether an instance is a root of the overlay, and else its parent, as the
// last line of its log on its place says.
func (d *Deployment) Place(e *Edge) (root bool, parent string) {
	raw, _ := os.ReadFile(filepath.Join(d.dir, e.name+".log"))
	for _, line := range strings.Split(string(raw), "\n") {
		if m := placeLine.FindStringSubmatch(line); m != nil {
			root, parent = m[1] == "true", m[2]
		}
	}
	return root, parent
}

var placeLine = regexp.MustCompile(`msg="The place among the instances changed." root=(\w+) parent="?([^ "]*)`)

func (d *Deployment) logTail(e *Edge) string {
	raw, _ := os.ReadFile(filepath.Join(d.dir, e.name+".log"))
	return string(raw[max(0, len(raw)-2000):])
}

// Stop ends all processes and deletes the temporary folder. KEEP=1 keeps the folder.
func (d *Deployment) Stop() {
	for _, e := range d.edges {
		_ = e.cmd.Process.Kill()
		_ = e.cmd.Wait()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.dir)
	} else {
		fmt.Println("kept", d.dir)
	}
}

// Call is one client attempt.
type Call struct {
	Method, Path, ID, Key string
	Body                  []byte
	Deadline              time.Duration
	Header                map[string]string
	// NewChannel sends the attempt on a channel of its own, as clients do when they retry.
	NewChannel bool
}

// Answer is what the client got; Err is the error of a channel that was closed.
type Answer struct {
	Status int
	Seal   string
	Body   string
	// Leaving is true if the answer has the header Server-Leaving.
	Leaving bool
	Err     error
}

// String describes the answer for the record.
func (a Answer) String() string {
	if a.Err != nil {
		return fmt.Sprintf("%d, then the channel broke: %v", a.Status, a.Err)
	}
	if a.Seal == "" {
		return fmt.Sprintf("%d %s", a.Status, bytes.TrimSpace([]byte(a.Body)))
	}
	return fmt.Sprintf("%d, seal %s", a.Status, a.Seal)
}

// Send sends a client attempt to an instance and returns its answer.
func (e *Edge) Send(c Call) Answer {
	req, err := http.NewRequest(c.Method, "http://"+e.front+c.Path, bytes.NewReader(c.Body))
	if err != nil {
		panic(err)
	}
	req.GetBody = nil
	req.Host = hostName
	req.Header.Set("Crocusfold-Request-Id", c.ID)
	req.Header.Set("Crocusfold-Deadline-Ms", fmt.Sprint(c.Deadline.Milliseconds()))
	if c.Key != "" {
		req.Header.Set("Authorization", "Bearer "+c.Key)
	}
	for name, value := range c.Header {
		req.Header.Set(name, value)
	}
	req.Close = c.NewChannel
	client := e.client
	if c.NewChannel {
		client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DialContext: e.dial}}
	}
	resp, err := client.Do(req)
	if err != nil {
		return Answer{Err: err}
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	return Answer{Status: resp.StatusCode, Seal: resp.Header.Get("Crocusfold-Server-Seal"), Body: string(raw), Leaving: resp.Header.Get("Server-Leaving") != "", Err: err}
}

// Event is one event of a stream.
type Event struct{ ID, Data string }

// events returns the complete events of a body.
func events(body string) []Event {
	var out []Event
	for {
		text, rest, ok := strings.Cut(body, "\n\n")
		if !ok {
			return out
		}
		var ev Event
		for _, line := range strings.Split(text, "\n") {
			if id, ok := strings.CutPrefix(line, "id: "); ok {
				ev.ID = id
			}
			if data, ok := strings.CutPrefix(line, "data: "); ok {
				ev.Data = data
			}
		}
		out, body = append(out, ev), rest
	}
}

// hostName is the host of all routes.
const hostName = "pule25.example"

// route returns a route of the config.
func route(name, kind, service string, timeout time.Duration, more map[string]any) map[string]any {
	r := map[string]any{
		"name": name, "host": hostName, "pathPrefix": "/" + name + "/", "kind": kind, "timeoutMs": timeout.Milliseconds(),
		"targetLatencyMs": 300, "priority": 1, "service": service, "maxAttempts": 1, "public": false, "sticky": false,
	}
	for k, v := range more {
		r[k] = v
	}
	return r
}

// configOf returns a config.
func configOf(version int, routes, services, tenants []any) map[string]any {
	return map[string]any{
		"version": version, "routes": routes, "services": services, "tenants": tenants,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
}

func tenant(name string, isolated bool, keys ...string) map[string]any {
	t := map[string]any{"name": name, "apiKeys": append([]string{}, keys...), "priority": 1}
	if isolated {
		t["isolated"] = true
	}
	return t
}
