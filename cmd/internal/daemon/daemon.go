// Package daemon runs a long-lived program that is configured by a settings file, until
// SIGTERM or SIGINT.
package daemon

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	stdlog "log"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/go-kit/log"
	"github.com/jessevdk/go-flags"
)

// Exit codes of the programs.
const (
	exitOK = iota
	exitFailed
	exitUsage
)

// Daemon describes a long-lived program that is configured by a settings file.
type Daemon struct {
	Name  string
	Usage string
	// SettingsVariable names an environment variable with the path of the settings
	// file. It is used if the option is not given; empty means that there is none.
	SettingsVariable string
	// Log is the destination of log lines; nil means standard error.
	Log io.Writer
	// Load reads and checks the settings file, and returns the function that runs the
	// program until ctx is done.
	Load func(file string, logger log.Logger) (func(ctx context.Context) error, error)
	// Reload applies the settings file again, after SIGHUP or a change of the file. If it
	// returns an error, the previous settings must stay in force. If it is nil, changes
	// of the file are ignored and SIGHUP ends the process.
	Reload func(file string) error
}

// watchInterval is the interval between two checks whether the settings file changed.
const watchInterval = 2 * time.Second

type options struct {
	Settings string `long:"settings" short:"s" value-name:"FILE" description:"the settings file"`
}

// Main runs the program and returns its exit code. If the settings are missing or
// invalid, it returns code 2 before anything is started.
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
	out := d.Log
	if out == nil {
		out = log.NewSyncWriter(os.Stderr)
	}
	logger := log.NewLogfmtLogger(out)
	logger = log.With(logger, "ts", log.DefaultTimestampUTC)
	stdlog.SetFlags(0)
	stdlog.SetOutput(libraryLog{logger})
	// By default SIGHUP ends the process, so it is caught before the program is loaded.
	hup := make(chan os.Signal, 1)
	if d.Reload != nil {
		signal.Notify(hup, syscall.SIGHUP)
		defer signal.Stop(hup)
	}
	run, err := d.Load(opts.Settings, logger)
	if err != nil {
		return d.fail(err, exitUsage)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if d.Reload != nil {
		go d.watch(ctx, hup, opts.Settings, logger)
	}
	if err := run(ctx); err != nil {
		return d.fail(err, exitFailed)
	}
	return exitOK
}

// watch reloads the settings after SIGHUP or a change of the file, until ctx is done. A
// failed reload is logged only after SIGHUP.
func (d Daemon) watch(ctx context.Context, hup <-chan os.Signal, file string, logger log.Logger) {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	current, err := os.ReadFile(file)
	if err != nil {
		_ = logger.Log("msg", "The settings file can't be read; trying again.", "err", err)
	}
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return
		case <-hup:
			signalled = true
		case <-ticker.C:
		}
		raw, err := os.ReadFile(file)
		if err == nil && !signalled && bytes.Equal(raw, current) {
			continue
		}
		if err == nil {
			current = raw
			err = d.Reload(file)
		}
		if err != nil && signalled {
			_ = logger.Log("msg", "The settings could not be read again; the old ones stay.", "err", err)
		}
	}
}

func (d Daemon) fail(err error, code int) int {
	_, _ = fmt.Fprintf(os.Stderr, "%s: %v\n", d.Name, err)
	return code
}
