// Command lab plays the scripted cases of this review: it starts the project's program as
// processes, beside stand-ins for the platform, the replicas and the clients.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	held     = 0
	broken   = 1
	couldNot = 2
)

// caseLimit is how long a case may run.
const caseLimit = 110 * time.Second

var cases = map[string]func(d *Deployment, trouble bool) int{}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: lab CASE FOLDER, in the repository's root")
		os.Exit(couldNot)
	}
	root, err := os.Getwd()
	if err != nil {
		os.Exit(couldNot)
	}
	folder, err := filepath.Abs(os.Args[2])
	if err != nil {
		os.Exit(couldNot)
	}
	d, err := newDeployment(root, folder)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(couldNot)
	}
	// Whatever happens, the processes end with the case.
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		select {
		case <-signals:
		case <-time.After(caseLimit):
		}
		d.Note("the case was ended early")
		d.Close()
		os.Exit(couldNot)
	}()
	code := cases[os.Args[1]](d, os.Getenv("TROUBLE") != "0")
	d.Close()
	os.Exit(code)
}
