package command

import (
	"fmt"
	"strings"
	"time"

	"crocusfold.dev/core/change"
)

const auditUsage = `Shows the latest changes with their verdicts, as every instance
read them from the log: who, when, what, and why.`

type auditCommand struct{ tool *tool }

// Execute prints one line for each change.
func (a *auditCommand) Execute([]string) error {
	api, err := a.tool.newClient()
	if err != nil {
		return usageError{err}
	}
	var state change.Snapshot
	if err := api.Get("/operator/state", &state); err != nil {
		return fmt.Errorf("reading the audit trail: %w", err)
	}
	for _, o := range state.Outcomes {
		a.tool.printf("%s  offset %d  %s  %s  %s", o.Made.Format(time.RFC3339), o.Offset, o.Operator, o.Verdict, strings.Join(o.Keys, " "))
		if o.Reason != "" {
			a.tool.printf("  (%s)", o.Reason)
		}
		if o.Detail != "" {
			a.tool.printf("  [%s]", o.Detail)
		}
		a.tool.printf("\n")
	}
	return nil
}
