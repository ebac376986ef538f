package command

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strings"

	"crocusfold.dev/core/change"
	"crocusfold.dev/core/plan"
	"crocusfold.dev/entry/gateway"
	"crocusfold.dev/operator/client"
)

const confirmUsage = `Puts a plan into force and waits until each instance has it.
If the response is lost, confirm the same file again: it never applies twice.

  crocusctl confirm plan.json`

type confirmCommand struct {
	tool *tool
	Args struct {
		Plan string `positional-arg-name:"PLAN" description:"a file written by plan"`
	} `positional-args:"yes" required:"yes"`
}

// Execute confirms the change in the plan.
func (c *confirmCommand) Execute([]string) error {
	raw, err := os.ReadFile(c.Args.Plan)
	if err != nil {
		return usageError{fmt.Errorf("reading the plan: %w", err)}
	}
	var p plan.Plan
	d := json.NewDecoder(bytes.NewReader(raw))
	d.DisallowUnknownFields()
	if err := d.Decode(&p); err != nil {
		return usageError{fmt.Errorf("reading the plan %s: %w", c.Args.Plan, err)}
	}
	api, err := c.tool.newClient()
	if err != nil {
		return usageError{err}
	}
	return c.tool.submit(api, p.Change)
}

// submit confirms a change and prints its outcome. It returns an error if the change was
// not accepted, or is not yet in force on every instance that may take new work.
func (t *tool) submit(api *client.Client, c change.Change) error {
	if len(c.Steps) == 0 {
		t.printf("no change\n")
		return nil
	}
	var done gateway.ConfirmResponse
	if err := api.Post("/operator/changes", c, &done); err != nil {
		return fmt.Errorf("confirming %s: %w", c.ID, err)
	}
	out := done.Outcome
	switch out.Verdict {
	case change.LostRace:
		return fmt.Errorf("lost the race: %s; make a new plan", out.Detail)
	case change.Invalid:
		return fmt.Errorf("refused: %s", out.Detail)
	}
	t.printf("accepted at offset %d\n", out.Offset)
	r := done.Propagation
	if !r.InForce {
		return errors.New("not yet in force at " + strings.Join(append(r.Missing, r.Unknown...), ", ") + "; see crocusctl status")
	}
	t.printf("in force on %d instances after %.2f s\n", len(r.Have), done.Duration.Seconds())
	if len(r.Stopped) > 0 {
		t.printf("not reachable, and taking no new work: %s\n", strings.Join(r.Stopped, ", "))
	}
	return nil
}
