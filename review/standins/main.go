// Command case plays one case of the review against processes of crocus-edge, with
// stand-ins for the clients, the replicas and the platform. It must be started from the
// root of the repository, after the build of the deploy file.
//
//	case NAME RECORD
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
// With TROUBLE=0 in the environment it leaves the disruption out.
package main

import (
	"errors"
	"fmt"
	"os"
	"time"
)

// cases has the cases by name. Each returns whether the rule was broken.
var cases = map[string]func(d *Deployment, trouble bool) (broken bool, err error){
	"wall":     wall,
	"leaving":  leaving,
	"revoked":  revoked,
	"evacuate": evacuate,
	"rejoined": rejoined,
	"poison":   poison,
	"versions": versions,
}

// maxTime bounds a case. A case that takes longer could not run.
const maxTime = 110 * time.Second

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: case NAME RECORD")
		return 2
	}
	out, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer out.Close()
	trouble := os.Getenv("TROUBLE") != "0"
	record := &Record{out: out, start: time.Now()}
	record.Print("case %s, trouble %v", os.Args[1], trouble)
	d := newDeployment(record)
	defer d.Stop()
	type result struct {
		broken bool
		err    error
	}
	done := make(chan result, 1)
	go func() {
		broken, err := cases[os.Args[1]](d, trouble)
		done <- result{broken, err}
	}()
	res := result{err: errCannotRun}
	select {
	case res = <-done:
	case <-time.After(maxTime):
	}
	switch {
	case res.err != nil:
		record.Print("the case could not run: %v", res.err)
		if !errors.Is(res.err, errCannotRun) {
			fmt.Fprintln(os.Stderr, res.err)
		}
		return 2
	case res.broken:
		record.Print("the rule was broken")
		return 1
	}
	record.Print("the rule held")
	return 0
}
