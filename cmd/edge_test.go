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

// output collects the output of a process. It is safe for concurrent use.
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

// startEdge starts an instance on a loopback host, without a platform that responds, and
// waits until it serves.
func startEdge(t *testing.T, host string) (file string, c *exec.Cmd, out *output) {
	t.Helper()
	raw, err := os.ReadFile("testdata/edge/boot.json")
	if err != nil {
		t.Fatal(err)
	}
	file = filepath.Join(t.TempDir(), "boot.json")
	writeSettings(t, file, strings.ReplaceAll(string(raw), "HOST", host))
	out = &output{}
	c = exec.Command(filepath.Join(buildPrograms(t), "crocus-edge"))
	c.Env = append(os.Environ(), "CROCUSFOLD_CONFIG="+file)
	c.Stdout, c.Stderr = out, out
	if err := c.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Process.Kill() })
	d := &deployment{t: t}
	d.waitFor("the instance to serve", func() bool { return out.has("The instance serves.") })
	return file, c, out
}

func writeSettings(t *testing.T, file, text string) {
	t.Helper()
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// TestEdgeSettingsReread checks that SIGHUP makes the process read its settings again and
// doesn't end it, and that an invalid file leaves the previous settings in force.
func TestEdgeSettingsReread(t *testing.T) {
	is := is.New(t)
	const host = "127.20.0.9"
	file, c, out := startEdge(t, host)
	d := &deployment{t: t}
	resp, err := http.Get("http://" + host + ":19202/api/readiness")
	is.NoErr(err)
	_ = resp.Body.Close()
	is.Equal(resp.StatusCode, http.StatusServiceUnavailable) // it has no configuration

	is.NoErr(c.Process.Signal(syscall.SIGHUP))
	d.waitFor("the settings to be read again", func() bool { return out.has("Read the settings again.") })
	writeSettings(t, file, "{")
	is.NoErr(c.Process.Signal(syscall.SIGHUP))
	d.waitFor("the invalid file to be refused", func() bool { return out.has("the old ones stay") })

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

// TestEdgeTools checks that crocusctl validates the settings file of an instance, and that
// it prints the state of instances from their metrics, also if one does not respond.
func TestEdgeTools(t *testing.T) {
	is := is.New(t)
	const host = "127.20.0.10"
	file, _, _ := startEdge(t, host)
	ctl := func(args ...string) (string, error) {
		out, err := exec.Command(filepath.Join(buildPrograms(t), "crocusctl"), args...).CombinedOutput()
		return string(out), err
	}
	out, err := ctl("check", "--edge", file)
	is.NoErr(err)
	is.True(strings.Contains(out, "the settings are usable"))

	resp, err := http.Get("http://" + host + ":19205/anything")
	is.NoErr(err)
	_ = resp.Body.Close()
	d := &deployment{t: t}
	d.waitFor("the request to be counted", func() bool {
		out, err = ctl("status", "--metrics", host+":9464")
		return strings.Contains(out, "no-configuration (1)")
	})
	is.NoErr(err)

	out, err = ctl("status", "--metrics", host+":9464", "--metrics", host+":9465")
	is.True(err != nil) // no instance listens on port 9465
	is.True(strings.Contains(out, "no-configuration (1)"))
	is.True(strings.Contains(out, "does not answer"))

	writeSettings(t, file, strings.Replace(readFile(t, file), `"graceS": 1`, `"graceS": 0`, 1))
	out, err = ctl("check", "--edge", file)
	is.True(err != nil)
	is.True(strings.Contains(out, "graceS")) // the message names the key
}

func readFile(t *testing.T, file string) string {
	t.Helper()
	raw, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	return string(raw)
}
