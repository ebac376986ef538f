// Command crocus-measure measures how the overhead of an instance grows with the number
// of things that it handles, such as objects, replicas and claims. docs/CAPACITY.md is
// based on the results.
package main

import (
	"fmt"
	"os"
	"strings"

	"github.com/jessevdk/go-flags"

	"crocusfold.dev/measure/costs"
)

const usage = `Measures the overhead of an instance: each quantity at several sizes,
with a line fitted to the values. It takes some seconds and uses one processor
and loopback only.

  crocus-measure
  crocus-measure --only order`

type options struct {
	Only string `long:"only" value-name:"TEXT" description:"measure only what has this in its name"`
}

func main() {
	var opts options
	parser := flags.NewNamedParser("crocus-measure", flags.Default)
	parser.LongDescription = usage
	if _, err := parser.AddGroup("Options", "", &opts); err != nil {
		fmt.Fprintln(os.Stderr, "crocus-measure:", err)
		os.Exit(1)
	}
	if _, err := parser.Parse(); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(2)
	}
	for _, m := range costs.All {
		if strings.Contains(m.Name, opts.Only) {
			fmt.Println(m.Run())
		}
	}
}
