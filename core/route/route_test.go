package route

import (
	"strconv"
	"strings"
	"testing"

	"crocusfold.dev/script"
)

// TestScripts: a route is name, host, prefix and its services with weights.
func TestScripts(t *testing.T) {
	script.Run(t, "testdata/*.txt", func(*testing.T) func([]string) []string {
		var routes []Route
		accounts := map[string]Account{}
		return func(args []string) []string {
			table := NewTable(1, Limits{}, routes, nil, accounts, len(accounts) > 0)
			switch args[0] {
			case "route":
				r := Route{Name: args[1], Host: args[2], Prefix: args[3]}
				for _, arg := range args[4:] {
					service, weight, _ := strings.Cut(arg, ":")
					w, _ := strconv.ParseFloat(weight, 64)
					r.Services = append(r.Services, WeightedService{service, w})
				}
				routes = append(routes, r)
			case "key":
				accounts[args[1]] = Account{Name: args[2]}
			case "match":
				r, ok := table.Match(args[1], args[2])
				if !ok {
					return []string{"none"}
				}
				return []string{r.Name}
			case "account":
				a, ok := table.Account(args[1])
				return []string{strings.TrimSpace(a.Name + " " + strconv.FormatBool(ok))}
			case "share":
				return []string{strconv.Itoa(share(&routes[0], args[1]))}
			}
			return nil
		}
	})
}

// share returns how many of 100 evenly spread hashes go to a service.
func share(r *Route, service string) int {
	const hashes, steps = 100, 1 << 20
	n := 0
	for i := range uint64(hashes) {
		if r.Pick((2*i+1)*steps/(2*hashes)) == service {
			n++
		}
	}
	return n
}
