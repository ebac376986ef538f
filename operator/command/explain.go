package command

import (
	"fmt"

	"crocusfold.dev/entry/explain"
)

const explainUsage = `Shows which upstreams were considered for a request, which was
chosen, and the outcome. Instances keep this for their latest requests only.

  crocusctl explain REQUEST-ID`

type explainCommand struct {
	tool *tool
	Args struct {
		Request string `positional-arg-name:"REQUEST-ID" description:"the request's id"`
	} `positional-args:"yes" required:"yes"`
}

// Execute prints the explanation.
func (e *explainCommand) Execute([]string) error {
	api, err := e.tool.newClient()
	if err != nil {
		return usageError{err}
	}
	var x explain.Explanation
	if err := api.GetAny("/operator/explain/"+e.Args.Request, &x); err != nil {
		return fmt.Errorf("reading the explanation: %w", err)
	}
	e.tool.printf("request %s of %s: %s at %s, configuration %d\n", x.RequestID, x.Account, x.Workload, x.Instance, x.Offset)
	if x.Session != "" {
		e.tool.printf("session %s, affinity store %s\n", x.Session, x.Store)
	}
	for i, at := range x.Attempts {
		e.tool.printf("attempt %d: %s (%s)\n", i+1, at.Chosen, at.Result)
		for _, ch := range at.Choices {
			e.tool.printf("  %s\n", ch)
		}
	}
	e.tool.printf("outcome: %s, run: %s, first token after %s\n", x.Outcome, x.RunState, x.TimeToFirstToken)
	return nil
}
