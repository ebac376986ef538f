package cmd

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// hangLimit only bounds each wait, so that a broken test ends. Apart from the deadline that
// post sets, no check depends on how long anything takes.
const hangLimit = 2 * time.Minute

// deployment is the deployment of examples/small as processes, on a loopback host of its
// own.
type deployment struct {
	t         testing.TB
	bin       string
	dir       string
	host      string
	processes map[string]*exec.Cmd
}

const (
	norte = "cuenca-norte-1"
	sur   = "cuenca-sur-1"
)

var ports = map[string]string{norte: "19100", sur: "19101", "gualaceo-1": "19102"}

// startDeployment starts the deployment on another loopback host than the example's, so
// that it doesn't reach other processes, and puts its intent into force. It returns when
// all instances are ready.
func startDeployment(t testing.TB, bin string, host string) *deployment {
	t.Helper()
	d := &deployment{t: t, bin: bin, dir: t.TempDir(), host: host, processes: map[string]*exec.Cmd{}}
	files, err := filepath.Glob("../examples/small/*.yaml")
	if err != nil {
		t.Fatal(err)
	}
	for _, file := range files {
		raw, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		text := strings.ReplaceAll(string(raw), "127.0.0.1:", host+":")
		if err := os.WriteFile(filepath.Join(d.dir, filepath.Base(file)), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	d.start("stand-ins", "crocus-standin", "stand-ins.yaml")
	for name := range ports {
		d.start(name, "crocus-entry", "entry-"+name+".yaml")
	}
	t.Cleanup(d.stop)
	for name := range ports {
		d.waitFor("livez of "+name, func() bool { return d.get(name, "/livez") == http.StatusOK })
	}
	d.ctl("plan", "--intent", "intent.yaml", "--out", "plan.json")
	d.ctl("confirm", "plan.json")
	for name := range ports {
		d.waitFor("readyz of "+name, func() bool { return d.get(name, "/readyz") == http.StatusOK })
	}
	return d
}

func (d *deployment) start(name, program, file string) {
	c := exec.Command(filepath.Join(d.bin, program), "--settings", file)
	c.Dir = d.dir
	if err := c.Start(); err != nil {
		d.t.Fatal(err)
	}
	d.processes[name] = c
}

func (d *deployment) stop() {
	for _, c := range d.processes {
		_ = c.Process.Kill()
		_ = c.Wait()
	}
}

func (d *deployment) signal(name string, sig syscall.Signal) {
	if err := d.processes[name].Process.Signal(sig); err != nil {
		d.t.Fatal(err)
	}
}

func (d *deployment) waitFor(what string, ok func() bool) {
	d.t.Helper()
	for end := time.Now().Add(hangLimit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if ok() {
			return
		}
	}
	d.t.Fatalf("waiting for %s took too long", what)
}

func (d *deployment) ctl(args ...string) string {
	d.t.Helper()
	c := exec.Command(filepath.Join(d.bin, "crocusctl"), append([]string{"--settings", "operator.yaml"}, args...)...)
	c.Dir = d.dir
	out, err := c.CombinedOutput()
	if err != nil {
		d.t.Fatalf("crocusctl %v: %v\n%s", args, err, out)
	}
	return string(out)
}

// get returns the status of the response, or 0 if none arrived.
func (d *deployment) get(name, path string) int {
	resp, err := http.Get("http://" + d.host + ":" + ports[name] + path)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	return resp.StatusCode
}

// response is the response to a caller; a status of 0 means that none arrived.
type response struct {
	status int
	// runState is the X-Run header: whether an upstream may have run the request.
	runState string
	body     string
}

// post sends a request of the account salones-azuay to an instance, with a deadline of
// 5 s.
func (d *deployment) post(name, path, key, body string) response {
	req, err := http.NewRequest(http.MethodPost, "http://"+d.host+":"+ports[name]+path, strings.NewReader(body))
	if err != nil {
		d.t.Error(err)
		return response{}
	}
	req.Header.Set("Authorization", "Bearer token-salones-azuay")
	req.Header.Set("Idempotency-Key", key)
	req.Header.Set("X-Timeout-Ms", "5000")
	client := &http.Client{Timeout: hangLimit}
	resp, err := client.Do(req)
	if err != nil {
		return response{}
	}
	defer resp.Body.Close()
	raw, _ := io.ReadAll(resp.Body)
	return response{resp.StatusCode, resp.Header.Get("X-Run"), string(raw)}
}

const chatBody = `{"model":"diseno","max_tokens":4,"messages":[{"role":"user","content":"a napkin"}]}`

// ordersRun returns the number of orders that the plain services have run.
func (d *deployment) ordersRun() int {
	n := 0
	for _, port := range []string{"19400", "19401"} {
		var calls []struct{ Method string }
		d.standIn(port, "/stand-in/calls", &calls)
		n += len(calls)
	}
	return n
}

// requestsStarted returns the number of requests that the engine in gualaceo has started.
func (d *deployment) requestsStarted() int {
	var seen struct{ Started int }
	d.standIn("19302", "/stand-in/seen", &seen)
	return seen.Started
}

func (d *deployment) standIn(port, path string, out any) {
	d.t.Helper()
	resp, err := http.Get("http://" + d.host + ":" + port + path)
	if err != nil {
		d.t.Fatal(err)
	}
	defer resp.Body.Close()
	if err := json.NewDecoder(resp.Body).Decode(out); err != nil {
		d.t.Fatal(err)
	}
}

// setDelay sets the delay of the plain services' responses.
func (d *deployment) setDelay(millis int) {
	for _, port := range []string{"19400", "19401"} {
		body := fmt.Sprintf(`{"slow-millis": %d}`, millis)
		req, _ := http.NewRequest(http.MethodPut, "http://"+d.host+":"+port+"/stand-in/faults", strings.NewReader(body))
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			d.t.Fatal(err)
		}
		_ = resp.Body.Close()
	}
}

// TestFrozenInstanceWakes stops an instance with SIGSTOP while a data centre is drained.
// Requests that arrived meanwhile are handled as soon as it resumes; none may start work
// in the drained data centre.
func TestFrozenInstanceWakes(t *testing.T) {
	d := startDeployment(t, buildPrograms(t), "127.20.0.1")
	d.signal(norte, syscall.SIGSTOP)
	responses := make(chan response, 20)
	for i := range cap(responses) {
		go func() { responses <- d.post(norte, "/v1/chat/completions", fmt.Sprint(i), chatBody) }()
	}
	out := d.ctl("drain", "gualaceo", "--confirm")
	if !strings.Contains(out, "in force on 2 instances") {
		t.Fatalf("the drain is not in force: %s", out)
	}
	before := d.requestsStarted()
	d.signal(norte, syscall.SIGCONT)
	for range cap(responses) {
		resp := <-responses
		if resp.status != http.StatusOK && resp.runState != "not-run" {
			t.Errorf("response after resuming: got %+v, want status 200 or not-run", resp)
		}
	}
	if n := d.requestsStarted() - before; n != 0 {
		t.Errorf("%d requests started in the drained data centre, want 0", n)
	}
	d.waitFor("the resumed instance to be ready", func() bool { return d.get(norte, "/readyz") == http.StatusOK })
}

// TestHolderFrozenAndKilled stops an instance with SIGSTOP after it sent an order to a
// service, retries the order at another instance, and then kills the first one. The retries
// must report an unknown outcome, and the order must not run twice.
func TestHolderFrozenAndKilled(t *testing.T) {
	is := is.New(t)
	d := startDeployment(t, buildPrograms(t), "127.20.0.2")
	d.setDelay(2000)
	first := make(chan response, 1)
	go func() { first <- d.post(norte, "/orders/print", "k1", `{"napkins":1}`) }()
	d.waitFor("the order to run", func() bool { return d.ordersRun() == 1 })
	d.signal(norte, syscall.SIGSTOP)
	retry := d.post(sur, "/orders/print", "k1", `{"napkins":1}`)
	is.True(retry.status != http.StatusOK) // the outcome is unknown
	is.Equal(retry.runState, "unknown")
	d.signal(norte, syscall.SIGKILL)
	<-first
	retry = d.post(sur, "/orders/print", "k1", `{"napkins":1}`)
	is.Equal(retry.runState, "unknown")
	is.Equal(d.ordersRun(), 1)
}

// TestKilledInstance kills an instance; another must go on serving requests and orders.
func TestKilledInstance(t *testing.T) {
	is := is.New(t)
	d := startDeployment(t, buildPrograms(t), "127.20.0.3")
	d.signal(norte, syscall.SIGKILL)
	is.Equal(d.post(sur, "/v1/chat/completions", "", chatBody).status, http.StatusOK)
	d.waitFor("an order to run elsewhere", func() bool {
		return d.post(sur, "/orders/print", "k2", `{"napkins":1}`).status == http.StatusOK
	})
	is.Equal(d.ordersRun(), 1)
}

// TestGracefulStop stops an instance with SIGTERM while it has requests in flight. Their
// responses must be complete, and the process must exit with code 0.
func TestGracefulStop(t *testing.T) {
	is := is.New(t)
	d := startDeployment(t, buildPrograms(t), "127.20.0.4")
	long := strings.Replace(chatBody, `"max_tokens":4`, `"max_tokens":1500`, 1)
	responses := make(chan response, 4)
	for i := range cap(responses) {
		go func() { responses <- d.post(norte, "/v1/chat/completions", fmt.Sprint(i), long) }()
	}
	d.waitFor("the requests to start", func() bool { return d.inFlight() >= cap(responses) })
	d.signal(norte, syscall.SIGTERM)
	for range cap(responses) {
		resp := <-responses
		is.Equal(resp.status, http.StatusOK)
		is.True(strings.Contains(resp.body, `"completion_tokens":1500`))
	}
	is.NoErr(d.processes[norte].Wait())
	delete(d.processes, norte)
}

// inFlight returns the number of requests that run at the engines.
func (d *deployment) inFlight() int {
	n := 0
	for _, port := range []string{"19300", "19301", "19302", "19303"} {
		var seen struct{ Running int }
		d.standIn(port, "/stand-in/seen", &seen)
		n += seen.Running
	}
	return n
}
