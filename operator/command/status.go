package command

import (
	"fmt"
	"sort"

	"crocusfold.dev/entry/gateway"
)

const statusUsage = `Shows, for each instance, up to which offset of the log it has
the configuration in force, and how far it trusts it:

  current      proven complete a short time ago
  log-down     no instance hears the log, so nothing newer can be in force
  cut-off      others may know more; the instance takes no new work
  unreachable  it did not answer

With --metrics it reads the metrics of instances on the users' platform in
place of that, and shows how old the proof of each one's configuration is, who
holds the duty, and what becomes of the requests:

  crocusctl status --metrics 10.1.0.36:9464 --metrics 10.1.0.37:9464`

type statusCommand struct {
	tool    *tool
	Metrics []string `long:"metrics" value-name:"IP:PORT" description:"metrics address of an instance; may be repeated"`
}

// Execute prints one line for each instance.
func (s *statusCommand) Execute([]string) error {
	if len(s.Metrics) > 0 {
		return s.showMetrics()
	}
	api, err := s.tool.newClient()
	if err != nil {
		return usageError{err}
	}
	var all gateway.StatusResponse
	if err := api.Get("/operator/status", &all); err != nil {
		return fmt.Errorf("reading the status: %w", err)
	}
	sort.Slice(all.Instances, func(i, j int) bool { return all.Instances[i].Name < all.Instances[j].Name })
	s.tool.printf("%-20s %-16s %8s  %-12s %s\n", "INSTANCE", "DATA CENTRE", "OFFSET", "VIEW", "STATE")
	for _, i := range all.Instances {
		state := "not ready"
		switch {
		case i.Leaving:
			state = "leaving"
		case i.Ready:
			state = "ready"
		}
		s.tool.printf("%-20s %-16s %8d  %-12s %s\n", i.Name, i.DataCentre, i.Offset, i.View, state)
	}
	return nil
}
