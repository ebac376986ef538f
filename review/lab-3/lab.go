// Command lab-3 plays the scripted cases of this review: it starts instances of crocus-edge as
// processes, beside stand-ins for the platform's store, for replicas and for stores of kept
// context, and checks what callers and replicas saw.
//
// Exit code 0: the rule held; 1: it was broken; 2: the case could not run.
package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// The bounds that a small deployment states in its settings.
var contractParams = map[string]any{
	"seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "ackMs": 4000, "catchUpS": 4, "drainMs": 2000, "graceS": 8,
	"lossSlackMs": 200, "configMs": 2000, "rollbackSlackMs": 250, "stretchMs": 5000, "strictRevoke": true, "revokeMs": 5000,
	"retryBudget": 0.2, "budgetWindowS": 10, "retrySlack": 56, "coldOvershoot": 1.5, "coldSlack": 5, "evacuateMs": 5000,
	"recoverS": 12, "transitMs": 120, "reuseWindowS": 20, "requireFence": true, "leaseMs": 3000, "thawSlackMs": 300,
	"versionMs": 6000, "versionAllMs": 8400,
}

// errCannotRun is a fault of the case's own surroundings.
type errCannotRun struct{ error }

// lab is the surroundings of one case.
type lab struct {
	// trouble is false if the case is played without its disturbance.
	trouble bool
	edge    string
	tmp     string
	net     string
	began   time.Time
	store   *store
	edges   []*instance

	mu     sync.Mutex
	record *os.File
}

// note writes a line to the record.
func (l *lab) note(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fmt.Fprintf(l.record, "%8.3f s  %s\n", time.Since(l.began).Seconds(), fmt.Sprintf(format, args...))
}

// instance is one process of crocus-edge.
type instance struct {
	name, zone, ip        string
	front, ready, control string
	settings              string
	cmd                   *exec.Cmd
	// ended is closed when the process has ended.
	ended chan struct{}
}

// addInstance writes the settings of one more instance.
func (l *lab) addInstance(name, zone string, change func(settings map[string]any)) *instance {
	ip := fmt.Sprintf("%s.%d", l.net, 10+len(l.edges))
	in := &instance{name: name, zone: zone, ip: ip, front: ip + ":8005", ready: ip + ":8002", control: ip + ":8000"}
	seeds := []string{}
	for i := range 3 {
		seeds = append(seeds, fmt.Sprintf("%s.%d:8000", l.net, 10+i))
	}
	s := map[string]any{
		"node": name, "role": "entry", "machineClass": "edge", "trafficClass": []string{"edge", "control_plane"},
		"bindIp": ip, "zone": zone, "region": "azuay", "zones": map[string]string{"norte": "azuay", "sur": "azuay", "este": "azuay"},
		"listen":        map[string]string{"front": in.front, "ready": in.ready, "control": in.control},
		"internalPorts": []int{7700, 7715}, "seedAddrs": seeds, "bootstrap": true, "faultCounted": false,
		"limits":   map[string]any{"cpuShare": 0.4, "cpuCores": 1, "memoryMb": 284, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0},
		"dataPath": nil, "discoveryMode": "platform", "entryMode": "vip", "heartbeatMs": 1200,
		"invariants":     []string{"base", "drain", "config", "cost", "retry", "recover", "kvcache", "stream", "engine", "tenants", "places", "platform"},
		"faultTolerance": map[string]int{"machines": 2, "zones": 1, "regions": 0}, "contractParams": contractParams,
		"platform": map[string]any{"address": l.store.address, "form": "log", "writesPerS": 400, "readsPerS": 2000, "parts": 8, "appendMs": 4.0,
			"partMbS": 20.0, "readMbS": 80.0, "recordBytes": 262144, "callBytes": 2097152, "keep_s": 300, "partMb": 200, "ttlMinMs": 1000},
	}
	if change != nil {
		change(s)
	}
	raw, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		panic(err)
	}
	in.settings = filepath.Join(l.tmp, name+".json")
	if err := os.WriteFile(in.settings, raw, 0o600); err != nil {
		panic(errCannotRun{err})
	}
	l.edges = append(l.edges, in)
	return in
}

// start starts the process of an instance.
func (l *lab) start(in *instance) {
	out, err := os.OpenFile(filepath.Join(l.tmp, in.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		panic(errCannotRun{err})
	}
	cmd := exec.Command(l.edge)
	cmd.Stdout, cmd.Stderr = out, out
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "CROCUSFOLD_CONFIG=" + in.settings}
	// The process ends with this one, also if this one is killed.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		panic(errCannotRun{err})
	}
	ended := make(chan struct{})
	in.cmd, in.ended = cmd, ended
	go func() {
		_ = cmd.Wait()
		_ = out.Close()
		close(ended)
	}()
	l.note("started %s (%s) at %s, process %d", in.name, in.zone, in.front, in.cmd.Process.Pid)
}

// kill ends the process of an instance and waits for that.
func (l *lab) kill(in *instance) {
	if in.cmd == nil {
		return
	}
	_ = in.cmd.Process.Signal(syscall.SIGCONT)
	_ = in.cmd.Process.Kill()
	<-in.ended
}

// waitReady waits until all instances say that they are ready.
func (l *lab) waitReady(limit time.Duration) {
	until := time.Now().Add(limit)
	for _, in := range l.edges {
		for !in.isReady() {
			if time.Now().After(until) {
				panic(errCannotRun{fmt.Errorf("%s is not ready after %s", in.name, limit)})
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	l.note("all instances are ready")
}

func (in *instance) isReady() bool {
	resp, err := roundTrip(in.ready, "GET /api/readiness HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n", 2*time.Second)
	return err == nil && resp.status == 200
}

// freeNet returns a loopback network in which nothing listens on the ports that instances use.
func freeNet() string {
	for range 50 {
		n := fmt.Sprintf("127.%d.%d", 60+rand.IntN(160), rand.IntN(250))
		ln, err := net.Listen("tcp", n+".10:8005")
		if err != nil {
			continue
		}
		_ = ln.Close()
		return n
	}
	panic(errCannotRun{fmt.Errorf("no free loopback network")})
}

// listen listens on a free port of a loopback address.
func listen(ip string) net.Listener {
	ln, err := net.Listen("tcp", ip+":0")
	if err != nil {
		panic(errCannotRun{err})
	}
	return ln
}

// cases has the cases by their numbers. A case returns whether the rule held.
var cases = map[string]func(*lab) bool{}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: lab-3 CASE EDGE RECORD")
		os.Exit(2)
	}
	os.Exit(play(os.Args[1], os.Args[2], os.Args[3]))
}

// play plays a case and returns the exit code.
func play(name, edge, record string) (code int) {
	edge, err := filepath.Abs(edge)
	if err != nil {
		return 2
	}
	f, err := os.Create(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer f.Close()
	tmp, err := os.MkdirTemp("", "lab-3-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(tmp)
	} else {
		fmt.Fprintln(os.Stderr, tmp)
	}
	l := &lab{trouble: os.Getenv("TROUBLE") != "0", edge: edge, tmp: tmp, net: freeNet(), began: time.Now(), record: f}
	defer func() {
		if v := recover(); v != nil {
			l.note("the case could not run: %v", v)
			fmt.Fprintln(os.Stderr, "the case could not run:", v)
			code = 2
		}
		for _, in := range l.edges {
			l.kill(in)
		}
	}()
	// A case that does not end in time could not run.
	watchdog := time.AfterFunc(115*time.Second, func() {
		for _, in := range l.edges {
			if in.cmd != nil {
				_ = in.cmd.Process.Kill()
				<-in.ended
			}
		}
		_ = os.RemoveAll(tmp)
		fmt.Fprintln(os.Stderr, "the case did not end in time")
		os.Exit(2)
	})
	defer watchdog.Stop()
	l.store = newStore(l.net + ".2")
	l.note("case %s, disturbance: %t", name, l.trouble)
	if cases[name](l) {
		l.note("the rule held")
		return 0
	}
	l.note("THE RULE WAS BROKEN")
	return 1
}
