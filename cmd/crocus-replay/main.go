// Command crocus-replay replays a trace under the placement of crocusfold and under
// baseline policies, and prints the users' four measures for each.
package main

import (
	"fmt"
	"os"
	"time"

	"github.com/jessevdk/go-flags"

	"crocusfold.dev/measure/replay"
	"crocusfold.dev/measure/trace"
)

const usage = `Replays a trace from a file, or one that is generated from a seed, with
simulated engines, links and stores.

  crocus-replay --deployment cooperative --seed 7
  crocus-replay --deployment zarqa --seed 7 --write trace.jsonl
  crocus-replay --deployment zarqa --trace trace.jsonl`

type options struct {
	Deployment string  `long:"deployment" choice:"cooperative" choice:"zarqa" default:"cooperative" description:"whose deployment"`
	Seed       uint64  `long:"seed" default:"1" description:"seed of the generated trace"`
	Hours      float64 `long:"hours" default:"6" description:"length of the generated trace"`
	Write      string  `long:"write" value-name:"FILE" description:"write the generated trace and end"`
	Trace      string  `long:"trace" value-name:"FILE" description:"replay this trace"`
}

// scenario is a simulated deployment with the parameters of its generated trace.
type scenario struct {
	deployment replay.Deployment
	params     trace.Params
}

// scenarios maps the values of --deployment to the users' deployments at their current
// sizes.
var scenarios = map[string]scenario{
	"cooperative": {
		replay.Deployment{
			DataCentres: []string{"cuenca-norte", "cuenca-sur", "gualaceo"}, Replicas: 12, Stores: []string{"memoria-a", "memoria-b"},
			CacheBlocks: 300, StoreBlocks: 20_000, RecomputeWeight: 40 * time.Millisecond,
		},
		trace.Params{Sessions: 3000, Accounts: 10, MedianGap: 20 * time.Minute, MeanBlocks: 10, MeanTokens: 200, OutageDataCentre: "gualaceo", FailedStore: "memoria-a"},
	},
	"zarqa": {
		replay.Deployment{
			DataCentres: []string{"sahab", "marka", "tila"}, Replicas: 9, Stores: []string{"fold-a", "fold-b"},
			CacheBlocks: 300, StoreBlocks: 20_000,
		},
		trace.Params{Sessions: 4000, Accounts: 10, MedianGap: 12 * time.Minute, MeanBlocks: 4, MeanTokens: 80, OutageDataCentre: "tila", FailedStore: "fold-b"},
	},
}

func main() {
	if err := run(os.Args[1:]); err != nil {
		if flags.WroteHelp(err) {
			fmt.Println(err)
			return
		}
		fmt.Fprintln(os.Stderr, "crocus-replay:", err)
		os.Exit(2)
	}
}

func run(args []string) error {
	var opts options
	parser := flags.NewNamedParser("crocus-replay", flags.HelpFlag)
	parser.LongDescription = usage
	if _, err := parser.AddGroup("Options", "", &opts); err != nil {
		return fmt.Errorf("preparing the options: %w", err)
	}
	if _, err := parser.ParseArgs(args); err != nil {
		return err
	}
	s := scenarios[opts.Deployment]
	s.params.Hours = opts.Hours
	records := trace.Generate(s.params, opts.Seed)
	if opts.Write != "" {
		return write(opts.Write, records)
	}
	if opts.Trace != "" {
		var err error
		if records, err = read(opts.Trace); err != nil {
			return err
		}
	}
	fmt.Println(replay.Header)
	for _, p := range replay.Policies {
		fmt.Println(replay.Run(records, s.deployment, p, opts.Seed))
	}
	return nil
}

func write(file string, records []trace.Record) error {
	f, err := os.Create(file)
	if err != nil {
		return fmt.Errorf("creating the trace: %w", err)
	}
	if err := trace.Write(f, records); err != nil {
		_ = f.Close()
		return err
	}
	return f.Close()
}

func read(file string) ([]trace.Record, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, fmt.Errorf("opening the trace: %w", err)
	}
	defer f.Close()
	return trace.Read(f)
}
