package command

import (
	"fmt"
	"time"

	"github.com/google/uuid"

	"crocusfold.dev/core/change"
)

const drainUsage = `Stops new work in a data centre or on an upstream. Running
work ends by itself.

  crocusctl drain gualaceo --reason "power works" --confirm`

const returnUsage = `Lets new work go to a data centre or an upstream again. Its
upstreams get work slowly at first, as cold ones do.

  crocusctl return gualaceo --confirm`

type drainCommand struct {
	tool    *tool
	drain   bool
	Reason  string `long:"reason" value-name:"TEXT" description:"the reason, for the audit trail"`
	Confirm bool   `long:"confirm" description:"put it into force, instead of only showing it"`
	Args    struct {
		Target string `positional-arg-name:"TARGET" description:"a data centre or an upstream"`
	} `positional-args:"yes" required:"yes"`
}

// Execute shows the change and confirms it if it was asked to.
func (d *drainCommand) Execute([]string) error {
	api, err := d.tool.newClient()
	if err != nil {
		return usageError{err}
	}
	var state change.Snapshot
	if err := api.Get("/operator/state", &state); err != nil {
		return fmt.Errorf("reading what is in force: %w", err)
	}
	key := "drain/" + d.Args.Target
	var base change.Object
	for _, o := range state.Objects {
		if o.Key == key {
			base = o
		}
	}
	if base.Drain == d.drain {
		d.tool.printf("no change: %s is already so\n", d.Args.Target)
		return nil
	}
	step := change.Step{Key: key, Base: base.Version, Value: change.Value{Drain: d.drain}}
	d.tool.printf("%s  %s  (base %d)\n", map[bool]string{true: "drain ", false: "return"}[d.drain], d.Args.Target, base.Version)
	if !d.Confirm {
		d.tool.printf("nothing has changed yet; add --confirm\n")
		return nil
	}
	return d.tool.submit(api, change.Change{
		ID: uuid.NewString(), Operator: api.Operator, Reason: d.Reason, Made: time.Now().UTC(), Steps: []change.Step{step},
	})
}
