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

// hangLimit only keeps a broken test from waiting for ever; no verdict depends
// on how long anything takes.
const hangLimit = 2 * time.Minute

// deployment is the small example as real processes, on loopback addresses of its own.
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

// startDeployment copies the example to another loopback host, so that it meets no
// other process, and puts its intent into force.
func startDeployment(t testing.TB, bin string, host string) *deployment {
	t.Helper()
	f := &deployment{t: t, bin: bin, dir: t.TempDir(), host: host, processes: map[string]*exec.Cmd{}}
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
		if err := os.WriteFile(filepath.Join(f.dir, filepath.Base(file)), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	f.start("stand-ins", "crocus-standin", "stand-ins.yaml")
	for name := range ports {
		f.start(name, "crocus-entry", "entry-"+name+".yaml")
	}
	t.Cleanup(f.stop)
	for name := range ports {
		f.waitFor("livez of "+name, func() bool { return f.get(name, "/livez") == http.StatusOK })
	}
	f.ctl("plan", "--intent", "intent.yaml", "--out", "plan.json")
	f.ctl("confirm", "plan.json")
	for name := range ports {
		f.waitFor("readyz of "+name, func() bool { return f.get(name, "/readyz") == http.StatusOK })
	}
	return f
}

func (f *deployment) start(name, program, file string) {
	c := exec.Command(filepath.Join(f.bin, program), "--settings", file)
	c.Dir = f.dir
	if err := c.Start(); err != nil {
		f.t.Fatal(err)
	}
	f.processes[name] = c
}

func (f *deployment) stop() {
	for _, c := range f.processes {
		_ = c.Process.Kill()
		_ = c.Wait()
	}
}

func (f *deployment) signal(name string, sig syscall.Signal) {
	if err := f.processes[name].Process.Signal(sig); err != nil {
		f.t.Fatal(err)
	}
}

func (f *deployment) waitFor(what string, ok func() bool) {
	f.t.Helper()
	for end := time.Now().Add(hangLimit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if ok() {
			return
		}
	}
	f.t.Fatalf("waiting for %s took too long", what)
}

func (f *deployment) ctl(args ...string) string {
	f.t.Helper()
	c := exec.Command(filepath.Join(f.bin, "crocusctl"), append([]string{"--settings", "operator.yaml"}, args...)...)
	c.Dir = f.dir
	out, err := c.CombinedOutput()
	if err != nil {
		f.t.Fatalf("crocusctl %v: %v\n%s", args, err, out)
	}
	return string(out)
}

func (f *deployment) get(name, path string) int {
	resp, err := http.Get("http://" + f.host + ":" + ports[name] + path)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	return resp.StatusCode
}

// response is what a caller got; a status of 0 means no answer.
type response struct {
	status  int
	outcome string
	body    string
}

func (f *deployment) post(name, path, key, body string) response {
	req, err := http.NewRequest(http.MethodPost, "http://"+f.host+":"+ports[name]+path, strings.NewReader(body))
	if err != nil {
		f.t.Error(err)
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

// ordersRun counts the orders that the plain services ran.
func (f *deployment) ordersRun() int {
	n := 0
	for _, port := range []string{"19400", "19401"} {
		var calls []struct{ Method string }
		f.standIn(port, "/stand-in/calls", &calls)
		n += len(calls)
	}
	return n
}

// requestsStarted counts the requests that gualaceo's engine has begun.
func (f *deployment) requestsStarted() int {
	var seen struct{ Started int }
	f.standIn("19302", "/stand-in/seen", &seen)
	return seen.Started
}

func (f *deployment) standIn(port, path string, out any) {
	f.t.Helper()
	resp, err := http.Get("http://" + f.host + ":" + port + path)
	if err != nil {
		f.t.Fatal(err)
	}
	defer resp.Body.Close()
	if err := json.NewDecoder(resp.Body).Decode(out); err != nil {
		f.t.Fatal(err)
	}
}

func (f *deployment) setDelay(millis int) {
	for _, port := range []string{"19400", "19401"} {
		body := fmt.Sprintf(`{"slow-millis": %d}`, millis)
		req, _ := http.NewRequest(http.MethodPut, "http://"+f.host+":"+port+"/stand-in/faults", strings.NewReader(body))
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			f.t.Fatal(err)
		}
		_ = resp.Body.Close()
	}
}

// TestFrozenInstanceWakes freezes an instance while a data centre is drained.
// Requests that reached it while it was frozen are handled the moment it wakes;
// none may start new work in the drained data centre.
func TestFrozenInstanceWakes(t *testing.T) {
	f := startDeployment(t, binaries(t), "127.20.0.1")
	f.signal(norte, syscall.SIGSTOP)
	answers := make(chan response, 20)
	for i := range cap(answers) {
		go func() { answers <- f.post(norte, "/v1/chat/completions", fmt.Sprint(i), chatBody) }()
	}
	out := f.ctl("drain", "gualaceo", "--confirm")
	if !strings.Contains(out, "in force on 2 instances") {
		t.Fatalf("the drain is not in force: %s", out)
	}
	before := f.requestsStarted()
	f.signal(norte, syscall.SIGCONT)
	for range cap(answers) {
		a := <-answers
		if a.status != http.StatusOK && a.outcome != "not-run" {
			t.Errorf("an answer after waking: %+v", a)
		}
	}
	if n := f.requestsStarted() - before; n != 0 {
		t.Errorf("%d requests began in the drained data centre", n)
	}
	f.waitFor("the woken instance to be ready", func() bool { return f.get(norte, "/readyz") == http.StatusOK })
}

// TestHolderFrozenAndKilled freezes an instance after it sent an order, has the
// caller ask again elsewhere, and then kills it.
func TestHolderFrozenAndKilled(t *testing.T) {
	is := is.New(t)
	f := startDeployment(t, binaries(t), "127.20.0.2")
	f.setDelay(2000)
	first := make(chan response, 1)
	go func() { first <- f.post(norte, "/orders/print", "k1", `{"napkins":1}`) }()
	f.waitFor("the order to run", func() bool { return f.ordersRun() == 1 })
	f.signal(norte, syscall.SIGSTOP)
	again := f.post(sur, "/orders/print", "k1", `{"napkins":1}`)
	is.True(again.status != http.StatusOK) // the outcome can't be known
	is.Equal(again.outcome, "unknown")
	f.signal(norte, syscall.SIGKILL)
	<-first
	again = f.post(sur, "/orders/print", "k1", `{"napkins":1}`)
	is.Equal(again.outcome, "unknown")
	is.Equal(f.ordersRun(), 1)
}

// TestKilledInstance kills an instance while it has requests; another answers.
func TestKilledInstance(t *testing.T) {
	is := is.New(t)
	f := startDeployment(t, binaries(t), "127.20.0.3")
	f.signal(norte, syscall.SIGKILL)
	is.Equal(f.post(sur, "/v1/chat/completions", "", chatBody).status, http.StatusOK)
	f.waitFor("an order to run elsewhere", func() bool {
		return f.post(sur, "/orders/print", "k2", `{"napkins":1}`).status == http.StatusOK
	})
	is.Equal(f.ordersRun(), 1)
}

// TestGracefulStop stops an instance while it streams; the stream ends whole.
func TestGracefulStop(t *testing.T) {
	is := is.New(t)
	f := startDeployment(t, binaries(t), "127.20.0.4")
	long := strings.Replace(chatBody, `"max_tokens":4`, `"max_tokens":1500`, 1)
	answers := make(chan response, 4)
	for i := range cap(answers) {
		go func() { answers <- f.post(norte, "/v1/chat/completions", fmt.Sprint(i), long) }()
	}
	f.waitFor("the streams to begin", func() bool { return f.inFlight() >= cap(answers) })
	f.signal(norte, syscall.SIGTERM)
	for range cap(answers) {
		a := <-answers
		is.Equal(a.status, http.StatusOK)
		is.True(strings.Contains(a.body, `"completion_tokens":1500`))
	}
	is.NoErr(f.processes[norte].Wait())
	delete(f.processes, norte)
}

func (f *deployment) inFlight() int {
	n := 0
	for _, port := range []string{"19300", "19301", "19302", "19303"} {
		var seen struct{ Running int }
		f.standIn(port, "/stand-in/seen", &seen)
		n += seen.Running
	}
	return n
}
