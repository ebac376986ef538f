package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"sync"
	"syscall"
	"time"
)

// memoryMB is the memory of a machine of the deployment.
var memoryMB = 284

const (
	host      = "h.example"
	frontPort = 18005
	readyPort = 18002
	ctrlPort  = 18000
	key       = "key-of-the-ordinary-tenant"
	otherKey  = "key-of-the-other-tenant"
)

// Deployment is a small deployment on loopback addresses.
type Deployment struct {
	Root, Dir string
	Store     *Store
	StoreAddr string
	Replicas  []*Replica
	KVs       []*KV
	Edges     []*Edge
	Routes    []map[string]any
	// Isolated has the tenants that share no part with others.
	Isolated map[string]bool
	stop     chan struct{}
	once     sync.Once
	mu       sync.Mutex
	record   *os.File
	began    time.Time
}

// Edge is a process of crocus-edge.
type Edge struct {
	Name, IP, Settings string
	cmd                *exec.Cmd
	done               chan struct{}
	log                bytes.Buffer
	mu                 sync.Mutex
}

func (e *Edge) Write(b []byte) (int, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.log.Write(b)
}

// Log returns what the process has written.
func (e *Edge) Log() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.log.String()
}

// Front returns the address for clients.
func (e *Edge) Front() string { return fmt.Sprintf("%s:%d", e.IP, frontPort) }

// Alive reports whether the process runs.
func (e *Edge) Alive() bool {
	select {
	case <-e.done:
		return false
	default:
		return true
	}
}

func newDeployment(root, folder string) (*Deployment, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	d := &Deployment{Root: root, Dir: dir, Store: newStore(), stop: make(chan struct{}), record: record, began: time.Now()}
	d.StoreAddr, err = serve(d.Store)
	return d, err
}

// Note writes a line to the record.
func (d *Deployment) Note(format string, args ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	fmt.Fprintf(d.record, "%8.3f ", time.Since(d.began).Seconds())
	fmt.Fprintf(d.record, format+"\n", args...)
}

// serve serves a handler at a free port of 127.0.0.1.
func serve(h http.Handler) (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = (&http.Server{Handler: h}).Serve(ln) }()
	return ln.Addr().String(), nil
}

// AddReplica starts a replica and writes its entry as often as a replica does.
func (d *Deployment) AddReplica(p *Replica) error {
	address, err := serve(p)
	if err != nil {
		return err
	}
	p.Address = address
	d.Replicas = append(d.Replicas, p)
	d.Store.Put("keyed.servers", p.ID, p.Entry())
	go func() {
		for {
			select {
			case <-d.stop:
				return
			case <-time.After(1200 * time.Millisecond):
				d.Store.Put("keyed.servers", p.ID, p.Entry())
			}
		}
	}()
	return nil
}

// AddKV starts a store of kept KV cache.
func (d *Deployment) AddKV(name string, capacity int) error {
	kv := newKV(name, capacity)
	address, err := serve(kv)
	if err != nil {
		return err
	}
	kv.Address = address
	d.KVs = append(d.KVs, kv)
	return nil
}

// Configure writes the config of the operator.
func (d *Deployment) Configure(version int, services []map[string]any) {
	for _, kv := range d.KVs {
		services = append(services, map[string]any{
			"name": kv.Name, "kvStoreAddr": kv.Address, "zone": "z1", "kvCapacity": kv.Capacity, "linkMbps": 1500000.0, "maxInflight": 12, "managed": true, "first_ms": 0.5,
		})
	}
	raw, _ := json.Marshal(map[string]any{
		"version": version, "routes": d.Routes, "services": services,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []map[string]any{
			{"name": "ordinary", "apiKeys": []string{key}, "priority": 1, "isolated": d.Isolated["ordinary"]},
			{"name": "other", "apiKeys": []string{otherKey}, "priority": 1, "isolated": d.Isolated["other"]},
		},
	})
	d.Store.Put("keyed.op", "config", raw)
}

// AddEdges starts instances, each at a loopback address of its own.
func (d *Deployment) AddEdges(n int) error {
	var seeds []string
	for i := range n {
		ip, err := freeIP()
		if err != nil {
			return err
		}
		d.Edges = append(d.Edges, &Edge{Name: fmt.Sprintf("edge-z1-%d", i+1), IP: ip})
		if i < 3 {
			seeds = append(seeds, fmt.Sprintf("%s:%d", ip, ctrlPort))
		}
	}
	for _, e := range d.Edges {
		raw, _ := json.MarshalIndent(map[string]any{
			"node": e.Name, "role": "entry", "machineClass": "edge", "trafficClass": []string{"edge", "control_plane"}, "bindIp": e.IP,
			"zone": "z1", "region": "r1", "zones": map[string]string{"z1": "r1"},
			"listen": map[string]any{
				"front": e.Front(), "ready": fmt.Sprintf("%s:%d", e.IP, readyPort), "control": fmt.Sprintf("%s:%d", e.IP, ctrlPort),
			},
			"internalPorts": []int{7700, 7715}, "seedAddrs": seeds, "bootstrap": true, "faultCounted": false,
			"limits":   map[string]any{"cpuShare": 0.4, "cpuCores": 1, "memoryMb": memoryMB, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0},
			"dataPath": nil, "discoveryMode": "platform", "entryMode": "vip", "heartbeatMs": 1200,
			"invariants":     []string{"base", "drain", "config", "cost", "retry", "recover", "kvcache", "stream", "engine", "tenants", "places", "platform"},
			"faultTolerance": map[string]int{"machines": 2, "zones": 1, "regions": 0},
			"contractParams": map[string]any{
				"seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "ackMs": 4000, "catchUpS": 4, "drainMs": 2000, "graceS": 8, "lossSlackMs": 200,
				"configMs": 2000, "rollbackSlackMs": 250, "stretchMs": 5000, "strictRevoke": true, "revokeMs": 5000, "retryBudget": 0.2, "budgetWindowS": 10,
				"retrySlack": 56, "coldOvershoot": 1.5, "coldSlack": 5, "evacuateMs": 5000, "recoverS": 12, "transitMs": 120, "reuseWindowS": 20,
				"requireFence": true, "leaseMs": 3000, "thawSlackMs": 300, "versionMs": 6000, "versionAllMs": 8400,
			},
			"platform": map[string]any{
				"address": d.StoreAddr, "form": "log", "writesPerS": 400, "readsPerS": 2000, "parts": 8, "appendMs": 4.0, "partMbS": 20.0, "readMbS": 80.0,
				"recordBytes": 262144, "callBytes": 2097152, "keep_s": 300, "partMb": 200, "ttlMinMs": 1000,
			},
		}, "", " ")
		e.Settings = filepath.Join(d.Dir, e.Name+".json")
		if err := os.WriteFile(e.Settings, raw, 0o600); err != nil {
			return err
		}
		if err := d.StartEdge(e); err != nil {
			return err
		}
	}
	return nil
}

// StartEdge starts the process of an instance, with the command of the deploy file.
func (d *Deployment) StartEdge(e *Edge) error {
	e.cmd = exec.Command("target/crocus-edge")
	e.cmd.Dir = d.Root
	e.cmd.Path = filepath.Join(d.Root, "target/crocus-edge")
	e.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + d.Dir, "LANG=C", "CROCUSFOLD_CONFIG=" + e.Settings}
	e.cmd.Stdout, e.cmd.Stderr = e, e
	e.done = make(chan struct{})
	// The process ends with this one, however that ends.
	e.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := startProcess(e.cmd); err != nil {
		return err
	}
	cmd, done := e.cmd, e.done
	go func() { _ = cmd.Wait(); close(done) }()
	return nil
}

// starts has the processes to start. Their parent is the thread that starts them, so that one
// thread, which lives as long as the program, starts them all.
var starts = make(chan func())

func init() {
	go func() {
		runtime.LockOSThread()
		for start := range starts {
			start()
		}
	}()
}

func startProcess(cmd *exec.Cmd) error {
	started := make(chan error)
	starts <- func() { started <- cmd.Start() }
	return <-started
}

// freeIP returns a loopback address at which the ports of an instance are free.
func freeIP() (string, error) {
	for range 50 {
		ip := fmt.Sprintf("127.%d.%d.%d", 100+rand.IntN(100), 1+rand.IntN(250), 1+rand.IntN(250))
		free := true
		for _, port := range []int{frontPort, readyPort, ctrlPort, 9464} {
			ln, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
			if err != nil {
				free = false
				break
			}
			_ = ln.Close()
		}
		if free {
			return ip, nil
		}
	}
	return "", fmt.Errorf("no free loopback address")
}

// WaitReady waits until all instances are ready.
func (d *Deployment) WaitReady(limit time.Duration) error {
	end := time.Now().Add(limit)
	for _, e := range d.Edges {
		for !ready(e) {
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready: %s", e.Name, e.Log())
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

func ready(e *Edge) bool {
	resp, err := (&http.Client{Timeout: time.Second}).Get(fmt.Sprintf("http://%s:%d/api/readiness", e.IP, readyPort))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// Close ends all processes that were started.
func (d *Deployment) Close() { d.once.Do(d.close) }

func (d *Deployment) close() {
	close(d.stop)
	for _, e := range d.Edges {
		if e.cmd != nil && e.cmd.Process != nil && e.Alive() {
			_ = e.cmd.Process.Signal(syscall.SIGKILL)
			<-e.done
		}
	}
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		for _, e := range d.Edges {
			_ = os.WriteFile(filepath.Join(keep, e.Name+".log"), []byte(e.Log()), 0o600)
		}
	}
	_ = d.record.Close()
	_ = os.RemoveAll(d.Dir)
}

// NoteRuns writes what the replicas ran to the record.
func (d *Deployment) NoteRuns() {
	for _, p := range d.Replicas {
		for _, r := range p.Runs() {
			d.Note("replica %s ran %s %s of %s, id %s, at %.3f s", p.ID, r.Method, r.URI, r.Tenant, r.ID, r.At.Sub(d.began).Seconds())
		}
	}
}

// Answer is what a client got for one attempt.
type Answer struct {
	Path, ID string
	Status   int
	Seal     string
	Body     string
	Err      error
	Took     time.Duration
	At       time.Time
}

// clientPatience is how long a client waits for an answer that is late.
const clientPatience = 20 * time.Second

// client keeps connections open, as clients do.
var client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 10 * time.Second, DisableCompression: true}}

var nextID struct {
	sync.Mutex
	n int
}

func newID() string {
	nextID.Lock()
	defer nextID.Unlock()
	nextID.n++
	return fmt.Sprintf("%08x%08x", rand.Uint32(), nextID.n)
}

// Request is one client attempt.
type Request struct {
	Method, Path, Key string
	Header            map[string]string
	Body              string
	Timeout           time.Duration
}

// send sends a request to an instance. The client waits for up to clientPatience, to see
// when an answer comes that is late.
func send(e *Edge, q Request) Answer { return sendOn(client, e, q) }

// sendOn does the same with a client of its own connections.
func sendOn(on *http.Client, e *Edge, q Request) Answer {
	a := Answer{Path: q.Path, ID: newID(), At: time.Now()}
	req, err := http.NewRequest(q.Method, "http://"+e.Front()+q.Path, bytes.NewReader([]byte(q.Body)))
	if err != nil {
		a.Err = err
		return a
	}
	req.Host = host
	req.Header.Set("Crocusfold-Request-Id", a.ID)
	req.Header.Set("Authorization", "Bearer "+q.Key)
	req.Header.Set("Crocusfold-Deadline-Ms", fmt.Sprint(q.Timeout.Milliseconds()))
	for name, value := range q.Header {
		req.Header.Set(name, value)
	}
	c := *on
	c.Timeout = clientPatience
	resp, err := c.Do(req)
	if err != nil {
		a.Err, a.Took = err, time.Since(a.At)
		return a
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	a.Status, a.Seal, a.Body, a.Err, a.Took = resp.StatusCode, resp.Header.Get("Crocusfold-Server-Seal"), string(raw), err, time.Since(a.At)
	return a
}

// sendRaw sends a request for exactly this target, on a connection of its own.
func sendRaw(e *Edge, target string) Answer {
	a := Answer{Path: target, ID: newID(), At: time.Now()}
	conn, err := net.DialTimeout("tcp", e.Front(), time.Second)
	if err != nil {
		a.Err = err
		return a
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	body := "an order"
	fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\nCrocusfold-Request-Id: %s\r\nAuthorization: Bearer %s\r\nCrocusfold-Deadline-Ms: 1500\r\nContent-Length: %d\r\n\r\n%s", target, host, a.ID, key, len(body), body)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		a.Err = err
		return a
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	a.Status, a.Seal, a.Body, a.Err, a.Took = resp.StatusCode, resp.Header.Get("Crocusfold-Server-Seal"), string(raw), err, time.Since(a.At)
	return a
}
