package command

import (
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/google/uuid"

	"crocusfold.dev/core/change"
	"crocusfold.dev/core/plan"
)

const planUsage = `Compares an intent with what is in force and prints the steps
from one to the other. The plan carries the versions that it was made on: if
another operator changes one of its objects first, the plan loses when it is
confirmed, and nothing of it takes effect.

  crocusctl plan --intent intent.yaml --out plan.json --reason "new account"`

// planMode is the file mode of a plan.
const planMode = 0o644

type planCommand struct {
	tool   *tool
	Intent string `long:"intent" value-name:"FILE" required:"true" description:"the wanted intent"`
	Out    string `long:"out" value-name:"FILE" description:"where to write the plan"`
	Reason string `long:"reason" value-name:"TEXT" description:"the reason, for the audit trail"`
}

// Execute makes the plan.
func (p *planCommand) Execute([]string) error {
	wanted, err := loadIntent(p.Intent)
	if err != nil {
		return err
	}
	api, err := p.tool.newClient()
	if err != nil {
		return usageError{err}
	}
	var state change.Snapshot
	if err := api.Get("/operator/state", &state); err != nil {
		return fmt.Errorf("reading what is in force: %w", err)
	}
	made := plan.New(time.Now().UTC(), uuid.NewString(), api.Operator, state.Next, state.Objects, wanted)
	made.Change.Reason = p.Reason
	p.tool.printf("%s", made.Lines())
	if p.Out == "" {
		return nil
	}
	raw, err := json.MarshalIndent(made, "", "  ")
	if err != nil {
		return fmt.Errorf("encoding the plan: %w", err)
	}
	if err := os.WriteFile(p.Out, append(raw, '\n'), planMode); err != nil {
		return fmt.Errorf("writing the plan: %w", err)
	}
	p.tool.printf("plan %s written to %s; nothing has changed yet\n", made.Change.ID, p.Out)
	return nil
}
