// Package verb holds the commands of the operators' tool, one in each file.
package verb

import (
	"errors"
	"fmt"
	"io"

	"github.com/jessevdk/go-flags"

	"crocusfold.dev/operator/console"
)

// Exit codes of the tool.
const (
	exitOK = iota
	exitFailed
	exitUsage
)

// Verb is one command of the tool.
type Verb struct {
	name  string
	short string
	usage string
	// make returns the command's flags and action.
	make func(*tool) flags.Commander
}

// verbs is the look-up table of commands.
var verbs = []Verb{
	{"check", "Check settings and intent files", checkUsage, func(t *tool) flags.Commander { return &check{tool: t} }},
	{"plan", "Show what an intent would change", planUsage, func(t *tool) flags.Commander { return &planning{tool: t} }},
	{"confirm", "Put a plan into force", confirmUsage, func(t *tool) flags.Commander { return &confirm{tool: t} }},
	{"drain", "Take a data centre or upstream out", drainUsage, func(t *tool) flags.Commander { return &drain{tool: t, out: true} }},
	{"return", "Bring a data centre or upstream back", returnUsage, func(t *tool) flags.Commander { return &drain{tool: t} }},
	{"status", "Show what is in force where", statusUsage, func(t *tool) flags.Commander { return &status{tool: t} }},
	{"audit", "Show who changed what", auditUsage, func(t *tool) flags.Commander { return &audit{tool: t} }},
	{"why", "Show from logs what became of a request, and why", whyUsage, func(t *tool) flags.Commander { return &why{tool: t} }},
	{"explain", "Show how a request was decided", explainUsage, func(t *tool) flags.Commander { return &explaining{tool: t} }},
}

// tool is what the commands share.
type tool struct {
	Settings string `long:"settings" short:"s" value-name:"FILE" default:"operator.yaml" description:"settings of the operator"`
	out      io.Writer
}

func (t *tool) console() (*console.Console, error) { return console.NewConsole(t.Settings) }

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
	for _, v := range verbs {
		if _, err := parser.AddCommand(v.name, v.short, v.usage, v.make(t)); err != nil {
			_, _ = fmt.Fprintln(errOut, "crocusctl:", err)
			return exitFailed
		}
	}
	_, err := parser.ParseArgs(args)
	return report(err, out, errOut)
}

// usageError is an error in what the operator gave, as against a failed call.
type usageError struct{ error }

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
