package cmd

import (
	"bytes"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// output collects what a process prints. It is safe for concurrent use.
type output struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (o *output) Write(b []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.buf.Write(b)
}

func (o *output) has(text string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return strings.Contains(o.buf.String(), text)
}

// startEdge starts an instance whose platform does not answer.
func startEdge(t *testing.T, host string) (file string, c *exec.Cmd, out *output) {
	t.Helper()
	raw, err := os.ReadFile("testdata/edge/boot.json")
	if err != nil {
		t.Fatal(err)
	}
	file = filepath.Join(t.TempDir(), "boot.json")
	writeSettings(t, file, strings.ReplaceAll(string(raw), "HOST", host))
	out = &output{}
	c = exec.Command(filepath.Join(binaries(t), "crocus-edge"))
	c.Env = append(os.Environ(), "CROCUSFOLD_CONFIG="+file)
	c.Stdout, c.Stderr = out, out
	if err := c.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Process.Kill() })
	f := &deployment{t: t}
	f.waitFor("the instance to serve", func() bool { return out.has("The instance serves.") })
	return file, c, out
}

func writeSettings(t *testing.T, file, text string) {
	t.Helper()
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// TestEdgeSettingsReread: SIGHUP must not end the process, and a bad file must
// leave what is in force.
func TestEdgeSettingsReread(t *testing.T) {
	is := is.New(t)
	const host = "127.20.0.9"
	file, c, out := startEdge(t, host)
	f := &deployment{t: t}
	resp, err := http.Get("http://" + host + ":19202/api/readiness")
	is.NoErr(err)
	_ = resp.Body.Close()
	is.Equal(resp.StatusCode, http.StatusServiceUnavailable) // no configuration is known

	is.NoErr(c.Process.Signal(syscall.SIGHUP))
	f.waitFor("the settings to be read again", func() bool { return out.has("Read the settings again.") })
	writeSettings(t, file, "{")
	is.NoErr(c.Process.Signal(syscall.SIGHUP))
	f.waitFor("the bad file to be refused", func() bool { return out.has("the old ones stay") })

	is.NoErr(c.Process.Signal(syscall.SIGTERM))
	done := make(chan error, 1)
	go func() { done <- c.Wait() }()
	select {
	case err := <-done:
		is.NoErr(err) // a graceful stop ends with code 0
	case <-time.After(hangLimit):
		t.Fatal("the instance did not stop")
	}
}

// TestEdgeTools: the operators' tool checks an instance's settings and shows its
// state from its metrics.
func TestEdgeTools(t *testing.T) {
	is := is.New(t)
	const host = "127.20.0.10"
	file, _, _ := startEdge(t, host)
	ctl := func(args ...string) (string, error) {
		out, err := exec.Command(filepath.Join(binaries(t), "crocusctl"), args...).CombinedOutput()
		return string(out), err
	}
	out, err := ctl("check", "--edge", file)
	is.NoErr(err)
	is.True(strings.Contains(out, "the settings are usable"))

	resp, err := http.Get("http://" + host + ":19205/anything")
	is.NoErr(err)
	_ = resp.Body.Close()
	f := &deployment{t: t}
	f.waitFor("the request to be counted", func() bool {
		out, err = ctl("status", "--metrics", host+":9464")
		return strings.Contains(out, "no-configuration (1)")
	})
	is.NoErr(err)

	out, err = ctl("status", "--metrics", host+":9464", "--metrics", host+":9465")
	is.True(err != nil) // one does not answer
	is.True(strings.Contains(out, "no-configuration (1)"))
	is.True(strings.Contains(out, "does not answer"))

	writeSettings(t, file, strings.Replace(readFile(t, file), `"graceS": 1`, `"graceS": 0`, 1))
	out, err = ctl("check", "--edge", file)
	is.True(err != nil)
	is.True(strings.Contains(out, "graceS")) // the fault names the key
}

func readFile(t *testing.T, file string) string {
	t.Helper()
	raw, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	return string(raw)
}
