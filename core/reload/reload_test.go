package reload

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"crocusfold.dev/script"
)

// TestScripts runs the cases in testdata. An engine is written as id:version:running or
// id:version:running:slots. Times are in milliseconds. In "expired" all older versions have
// expired, in "step-from" those before its third argument.
func TestScripts(t *testing.T) {
	script.Run(t, "testdata/*.txt", func(*testing.T) func([]string) []string {
		rl := &Reload{}
		at := func(s string) time.Time {
			ms, _ := strconv.ParseInt(s, 10, 64)
			return time.UnixMilli(1_000_000 + ms)
		}
		return func(args []string) []string {
			switch args[0] {
			case "step", "expired":
				target, _ := strconv.Atoi(args[2])
				minVersion := 0
				if args[0] == "expired" {
					minVersion = target
				}
				return show(rl.Step(at(args[1]), target, engines(args[3:]), minVersion))
			case "step-from":
				target, _ := strconv.Atoi(args[2])
				minVersion, _ := strconv.Atoi(args[3])
				return show(rl.Step(at(args[1]), target, engines(args[4:]), minVersion))
			case "adopt":
				rl.Adopt(at(args[1]), at(args[2]), args[3])
			case "refused":
				rl.Refused(at(args[1]), args[2], 0)
			case "drained":
				return []string{strings.Join(rl.Drained(), " ")}
			}
			return nil
		}
	})
}

func engines(args []string) []Engine {
	var out []Engine
	for _, arg := range args {
		f := strings.Split(arg, ":")
		version, _ := strconv.Atoi(f[1])
		running, _ := strconv.Atoi(f[2])
		e := Engine{ID: f[0], Version: version, Running: running}
		if len(f) > 3 {
			e.Slots, _ = strconv.Atoi(f[3])
		}
		out = append(out, e)
	}
	return out
}

func show(actions []Action) []string {
	var out []string
	for _, a := range actions {
		switch a := a.(type) {
		case Drain:
			out = append(out, "drain "+a.ID)
		case Load:
			out = append(out, fmt.Sprintf("load %s %d keep-running=%t", a.ID, a.Version, a.KeepRunning))
		case Watch:
			out = append(out, fmt.Sprintf("watch %s %d", a.ID, a.Version))
		case Release:
			out = append(out, "release "+a.ID)
		}
	}
	return out
}
