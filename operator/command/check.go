package command

import (
	"errors"
	"fmt"

	"crocusfold.dev/core/intent"
	"crocusfold.dev/entry/config"
	"crocusfold.dev/platform"
	"crocusfold.dev/shell/settings"
)

const checkUsage = `Checks files without calling any instance. Each fault is shown
with its file, line and key, and with what is allowed there.

  crocusctl check --intent intent.yaml
  crocusctl check --entry entry.yaml
  crocusctl check --edge boot.json`

type checkCommand struct {
	tool   *tool
	Intent string `long:"intent" value-name:"FILE" description:"an intent"`
	Entry  string `long:"entry" value-name:"FILE" description:"settings of an entry instance"`
	Edge   string `long:"edge" value-name:"FILE" description:"settings of an entry instance on the users' platform"`
}

// Execute checks the files that were named.
func (c *checkCommand) Execute([]string) error {
	if c.Intent == "" && c.Entry == "" && c.Edge == "" {
		return usageError{errors.New("name a file with --intent, --entry or --edge")}
	}
	if c.Intent != "" {
		if _, err := loadIntent(c.Intent); err != nil {
			return err
		}
		c.tool.printf("%s: the intent is usable\n", c.Intent)
	}
	if c.Entry != "" {
		if _, err := config.Load(c.Entry); err != nil {
			return usageError{err}
		}
		c.tool.printf("%s: the settings are usable\n", c.Entry)
	}
	if c.Edge != "" {
		if _, err := platform.LoadSettings(c.Edge); err != nil {
			return usageError{err}
		}
		c.tool.printf("%s: the settings are usable\n", c.Edge)
	}
	return nil
}

func loadIntent(file string) (intent.Intent, error) {
	var in intent.Intent
	if err := settings.Load(file, &in); err != nil {
		return in, usageError{err}
	}
	if err := in.Check(); err != nil {
		return in, usageError{fmt.Errorf("%s: %w", file, err)}
	}
	return in, nil
}
