// Package daemon runs a long-lived program from a settings file until a signal.
package daemon

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/go-kit/log"
	"github.com/jessevdk/go-flags"
)

// Exit codes of the programs.
const (
	exitOK = iota
	exitFailed
	exitUsage
)

// Daemon is a program with a settings file.
type Daemon struct {
	Name  string
	Usage string
	// SettingsVariable is an environment variable with the path of the settings
	// file, for when the option is not given. Empty means that there is none.
	SettingsVariable string
	// Load checks the settings file and returns what runs until ctx ends.
	Load func(file string, logger log.Logger) (func(ctx context.Context) error, error)
}

type options struct {
	Settings string `long:"settings" short:"s" value-name:"FILE" description:"the settings file"`
}

// Main runs the program and returns its exit code. A fault in the settings
// gives code 2 before anything is started.
func (d Daemon) Main(args []string) int {
	var opts options
	parser := flags.NewNamedParser(d.Name, flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = d.Usage
	if _, err := parser.AddGroup("Options", "", &opts); err != nil {
		return d.fail(err, exitFailed)
	}
	if _, err := parser.ParseArgs(args); err != nil {
		var help *flags.Error
		if errors.As(err, &help) && help.Type == flags.ErrHelp {
			fmt.Println(help.Message)
			return exitOK
		}
		return d.fail(err, exitUsage)
	}
	if opts.Settings == "" && d.SettingsVariable != "" {
		opts.Settings = os.Getenv(d.SettingsVariable)
	}
	if opts.Settings == "" {
		return d.fail(errors.New("the required flag `-s, --settings' was not specified"), exitUsage)
	}
	logger := log.NewLogfmtLogger(log.NewSyncWriter(os.Stderr))
	logger = log.With(logger, "ts", log.DefaultTimestampUTC)
	run, err := d.Load(opts.Settings, logger)
	if err != nil {
		return d.fail(err, exitUsage)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := run(ctx); err != nil {
		return d.fail(err, exitFailed)
	}
	return exitOK
}

func (d Daemon) fail(err error, code int) int {
	_, _ = fmt.Fprintf(os.Stderr, "%s: %v\n", d.Name, err)
	return code
}
