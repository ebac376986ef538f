// Package command holds the commands of the operators' tool, one in each file.
package command

import (
	"errors"
	"fmt"
	"io"

	"github.com/jessevdk/go-flags"

	"crocusfold.dev/operator/client"
)

// Exit codes of the tool.
const (
	exitOK = iota
	exitFailed
	exitUsage
)

// command is one command of the tool.
type command struct {
	name  string
	short string
	usage string
	// newCommand returns the command's flags and action.
	newCommand func(*tool) flags.Commander
}

// commands is the look-up table of commands.
var commands = []command{
	{"check", "Check settings and intent files", checkUsage, func(t *tool) flags.Commander { return &checkCommand{tool: t} }},
	{"plan", "Show what an intent would change", planUsage, func(t *tool) flags.Commander { return &planCommand{tool: t} }},
	{"confirm", "Put a plan into force", confirmUsage, func(t *tool) flags.Commander { return &confirmCommand{tool: t} }},
	{"drain", "Take a data centre or upstream out", drainUsage, func(t *tool) flags.Commander { return &drainCommand{tool: t, drain: true} }},
	{"return", "Bring a data centre or upstream back", returnUsage, func(t *tool) flags.Commander { return &drainCommand{tool: t} }},
	{"status", "Show what is in force where", statusUsage, func(t *tool) flags.Commander { return &statusCommand{tool: t} }},
	{"audit", "Show who changed what", auditUsage, func(t *tool) flags.Commander { return &auditCommand{tool: t} }},
	{"why", "Show from logs what became of a request, and why", whyUsage, func(t *tool) flags.Commander { return &whyCommand{tool: t} }},
	{"explain", "Show how a request was decided", explainUsage, func(t *tool) flags.Commander { return &explainCommand{tool: t} }},
}

// tool is what the commands share.
type tool struct {
	Settings string `long:"settings" short:"s" value-name:"FILE" default:"operator.yaml" description:"settings of the operator"`
	out      io.Writer
}

func (t *tool) newClient() (*client.Client, error) { return client.NewClient(t.Settings) }

func (t *tool) printf(format string, args ...any) { _, _ = fmt.Fprintf(t.out, format, args...) }

const toolUsage = `The operators' tool of crocusfold.

A change goes in three steps: write an intent, make a plan of what it would
change, and confirm the plan. Nothing takes effect before the confirmation.

  crocusctl check --intent intent.yaml
  crocusctl plan --intent intent.yaml --out plan.json
  crocusctl confirm plan.json
  crocusctl status

"crocusctl COMMAND --help" explains one command.`

// Main runs the tool and returns its exit code.
func Main(args []string, out, errOut io.Writer) int {
	t := &tool{out: out}
	parser := flags.NewNamedParser("crocusctl", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = toolUsage
	if _, err := parser.AddGroup("Common options", "", t); err != nil {
		_, _ = fmt.Fprintln(errOut, "crocusctl:", err)
		return exitFailed
	}
	for _, v := range commands {
		if _, err := parser.AddCommand(v.name, v.short, v.usage, v.newCommand(t)); err != nil {
			_, _ = fmt.Fprintln(errOut, "crocusctl:", err)
			return exitFailed
		}
	}
	_, err := parser.ParseArgs(args)
	return exitCode(err, out, errOut)
}

// usageError is an error in what the operator gave, as against a failed call.
type usageError struct{ error }

func exitCode(err error, out, errOut io.Writer) int {
	var flagErr *flags.Error
	var usage usageError
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &flagErr) && flagErr.Type == flags.ErrHelp:
		_, _ = fmt.Fprintln(out, flagErr.Message)
		return exitOK
	case errors.As(err, &flagErr), errors.As(err, &usage):
		_, _ = fmt.Fprintln(errOut, "crocusctl:", err)
		return exitUsage
	default:
		_, _ = fmt.Fprintln(errOut, "crocusctl:", err)
		return exitFailed
	}
}
