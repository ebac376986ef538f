// Package script runs tests that are written as data: files of cases, each a
// list of commands with the output that is expected of them.
//
//	case two entries claim one key
//	ask a k1
//	> granted a
//
// Lines that begin with # are comments. A command without expected lines must
// print nothing.
package script

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Case is one case of a file.
type Case struct {
	Name  string
	Steps []Step
}

// Step is one command with the output that it must have.
type Step struct {
	Line int
	Args []string
	Want []string
}

// Load reads the cases of a file.
func Load(file string) ([]Case, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, fmt.Errorf("opening a script: %w", err)
	}
	defer f.Close()
	var cases []Case
	lines := bufio.NewScanner(f)
	for n := 1; lines.Scan(); n++ {
		line := strings.TrimSpace(lines.Text())
		switch {
		case line == "" || strings.HasPrefix(line, "#"):
		case strings.HasPrefix(line, "case "):
			cases = append(cases, Case{Name: strings.TrimPrefix(line, "case ")})
		case len(cases) == 0:
			return nil, fmt.Errorf("%s:%d: a command before the first case", file, n)
		case strings.HasPrefix(line, ">"):
			c := &cases[len(cases)-1]
			if len(c.Steps) == 0 {
				return nil, fmt.Errorf("%s:%d: output before the first command", file, n)
			}
			last := &c.Steps[len(c.Steps)-1]
			last.Want = append(last.Want, strings.TrimSpace(strings.TrimPrefix(line, ">")))
		default:
			c := &cases[len(cases)-1]
			c.Steps = append(c.Steps, Step{Line: n, Args: strings.Fields(line)})
		}
	}
	if err := lines.Err(); err != nil {
		return nil, fmt.Errorf("reading a script: %w", err)
	}
	return cases, nil
}

// Run runs every case of the files that match a pattern. The function start
// returns what runs the commands of one case; each returns its output lines.
func Run(t *testing.T, pattern string, newRunner func(t *testing.T) func(args []string) []string) {
	t.Helper()
	files, err := filepath.Glob(pattern)
	if err != nil || len(files) == 0 {
		t.Fatalf("no scripts match %s: %v", pattern, err)
	}
	for _, file := range files {
		cases, err := Load(file)
		if err != nil {
			t.Fatal(err)
		}
		base := strings.TrimSuffix(filepath.Base(file), filepath.Ext(file))
		for _, c := range cases {
			t.Run(base+"/"+strings.ReplaceAll(c.Name, " ", "-"), func(t *testing.T) { c.Check(t, file, newRunner(t)) })
		}
	}
}

// Check runs the steps and compares what they print.
func (c Case) Check(t *testing.T, file string, run func(args []string) []string) {
	t.Helper()
	for _, s := range c.Steps {
		got := strings.Join(run(s.Args), "\n")
		if want := strings.Join(s.Want, "\n"); got != want {
			t.Fatalf("%s:%d: %s\ngot:\n%s\nwant:\n%s", file, s.Line, strings.Join(s.Args, " "), got, want)
		}
	}
}
