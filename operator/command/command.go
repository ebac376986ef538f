// Package command implements crocusctl, the operators' tool, with one file per command.
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
	// exitFailed means a failure that exitUsage doesn't cover, such as that of a call.
	exitFailed
	// exitUsage means a fault in the arguments, or in a file that they name.
	exitUsage
)

// command is one command of the tool.
type command struct {
	name  string
	short string
	usage string
	// newCommand returns a struct with the command's flags. Its method Execute runs the
	// command.
	newCommand func(*tool) flags.Commander
}

// commands are the tool's commands.
var commands = []command{
	{"check", "Check settings and intent files", checkUsage, func(t *tool) flags.Commander { return &checkCommand{tool: t} }},
	{"plan", "Show what an intent would change", planUsage, func(t *tool) flags.Commander { return &planCommand{tool: t} }},
	{"confirm", "Put a plan into force", confirmUsage, func(t *tool) flags.Commander { return &confirmCommand{tool: t} }},
	{"drain", "Take a data centre or upstream out", drainUsage, func(t *tool) flags.Commander { return &drainCommand{tool: t, drain: true} }},
	{"return", "Bring a data centre or upstream back", returnUsage, func(t *tool) flags.Commander { return &drainCommand{tool: t} }},
	{"status", "Show what is in force where", statusUsage, func(t *tool) flags.Commander { return &statusCommand{tool: t} }},
	{"audit", "Show who changed what", auditUsage, func(t *tool) flags.Commander { return &auditCommand{tool: t} }},
	{"why", "Show from logs what became of a request, and why", whyUsage, func(t *tool) flags.Commander { return &whyCommand{tool: t} }},
	{"rollouts", "Show from logs how rollouts go, and why", rolloutsUsage, func(t *tool) flags.Commander { return &rolloutsCommand{tool: t} }},
	{"explain", "Show how a request was decided", explainUsage, func(t *tool) flags.Commander { return &explainCommand{tool: t} }},
}

// tool holds the options and the output that the commands share.
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

// Main runs the tool with the given arguments and returns its exit code.
func Main(args []string, out, errOut io.Writer) int {
	t := &tool{out: out}
	parser := flags.NewNamedParser("crocusctl", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = toolUsage
	if _, err := parser.AddGroup("Common options", "", t); err != nil {
		_, _ = fmt.Fprintln(errOut, "crocusctl:", err)
		return exitFailed
	}
	for _, c := range commands {
		if _, err := parser.AddCommand(c.name, c.short, c.usage, c.newCommand(t)); err != nil {
			_, _ = fmt.Fprintln(errOut, "crocusctl:", err)
			return exitFailed
		}
	}
	_, err := parser.ParseArgs(args)
	return report(err, out, errOut)
}

// usageError is an error in the operator's arguments or files, rather than a failed call.
type usageError struct{ error }

// report prints err, if it is not nil, or the help that it holds. It returns the exit code.
func report(err error, out, errOut io.Writer) int {
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
