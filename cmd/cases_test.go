package cmd

import (
	"bytes"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

var update = flag.Bool("update", false, "overwrite the expected output with the actual output")

// buildPrograms builds the programs into a temporary directory and returns its path.
func buildPrograms(t testing.TB) string {
	t.Helper()
	dir := t.TempDir()
	build := exec.Command("go", "build", "-o", dir, "./...")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("building the programs: %v\n%s", err, out)
	}
	return dir
}

// TestCases runs the command in the file cmd of each directory of testdata/cases, in that
// directory. The output and the exit code must be those in the file expected.
func TestCases(t *testing.T) {
	bin := buildPrograms(t)
	dirs, err := filepath.Glob("testdata/cases/*")
	if err != nil || len(dirs) == 0 {
		t.Fatalf("no cases: %v", err)
	}
	for _, dir := range dirs {
		t.Run(filepath.Base(dir), func(t *testing.T) {
			is := is.New(t)
			line, err := os.ReadFile(filepath.Join(dir, "cmd"))
			is.NoErr(err)
			args := strings.Fields(string(line))
			run := exec.Command(filepath.Join(bin, args[0]), args[1:]...)
			run.Dir = dir
			var out bytes.Buffer
			run.Stdout, run.Stderr = &out, &out
			code := 0
			var exit *exec.ExitError
			if err := run.Run(); errors.As(err, &exit) {
				code = exit.ExitCode()
			} else {
				is.NoErr(err)
			}
			got := fmt.Sprintf("%sexit code %d\n", out.String(), code)
			file := filepath.Join(dir, "expected")
			if *update {
				is.NoErr(os.WriteFile(file, []byte(got), 0o644))
			}
			want, err := os.ReadFile(file)
			is.NoErr(err)
			is.Equal(got, string(want))
		})
	}
}
