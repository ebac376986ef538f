package pool

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"crocusfold.dev/core/limitgroup"
	"crocusfold.dev/core/statedlimit"
	"crocusfold.dev/script"
)

// TestScripts runs the cases in testdata. Times are in milliseconds. Replicas have 4
// slots and 10,000 tokens of memory, and take 10 requests per second while cold.
func TestScripts(t *testing.T) {
	script.Run(t, "testdata/*.txt", func(*testing.T) func([]string) []string {
		two := limitgroup.New(netip.MustParseAddrPort("10.0.0.1:1"), []netip.AddrPort{netip.MustParseAddrPort("10.0.0.2:1")})
		p := &Pool{LimitGroup: two, ColdOvershoot: 1.5, ColdSlack: 5, DataCentre: "dc"}
		return func(args []string) []string { return do(p, args) }
	})
}

const (
	coldRate = 10
	memory   = 10_000
)

func do(p *Pool, args []string) []string {
	switch args[0] {
	case "replica":
		p.Set(replicaOf(args))
	case "remove":
		p.Remove(at(args[1]), at(args[2]), args[3])
	case "sweep":
		var removed []string
		for _, r := range p.Sweep(at(args[1])) {
			removed = append(removed, r.ID)
		}
		return removed
	case "begin":
		p.Begin(args[1], Load{Tokens: number(args[2]), PendingPrefill: number(args[2])})
	case "transfer":
		p.Begin(args[1], Load{PendingTransfer: time.Duration(number(args[2])) * time.Millisecond})
	case "transferred":
		p.EndPrefill(args[1], Load{PendingTransfer: time.Duration(number(args[2])) * time.Millisecond})
	case "end":
		p.End(args[1], Load{Tokens: number(args[2])})
	case "peer":
		p.SetPeerLoads(at(args[1]), args[2], map[string]Load{args[3]: {Running: number(args[4]), Tokens: number(args[5])}})
	case "failed":
		p.Failed(at(args[1]), args[2])
	case "returned-error":
		p.ReturnedError(at("0"), args[1])
	case "succeeded":
		p.Succeeded(args[1])
	case "refused":
		p.Refused(at(args[1]), args[2])
	case "reloading":
		// reloading UNTIL-MS ID VERSION.
		p.MarkReloading(args[2], "m", number(args[3]), at(args[1]))
	case "clear-reloading":
		p.ClearReloading(args[1])
	case "response-started":
		p.ResponseStarted(at(args[1]), args[2], Load{}, time.Duration(number(args[3]))*time.Millisecond)
	case "observed":
		p.ObserveVersion(args[1], "m", number(args[2]))
	case "limit":
		// limit MS ID RATE (none ends it). The request was sent at that time, and the
		// response received 20 ms later.
		rate, err := strconv.ParseFloat(args[3], 64)
		p.ObserveLimit(at(args[1]), args[2], 0, statedlimit.Statement{Limited: err == nil, Rate: rate, SentAt: at(args[1]), ReceivedAt: at(args[1]).Add(20 * time.Millisecond)})
	case "defer":
		// defer MS ID PRIORITY UNTIL-MS.
		p.Defer(at(args[1]), args[2], number(args[3]), at(args[4]))
	case "contended":
		p.Contended = true
	case "slowdown":
		// slowdown MS ID PERCENT.
		p.ObserveSlowdown(at(args[1]), args[2], float64(number(args[3]))/100)
	case "hold":
		// hold ID BYTES; release ends it.
		p.Begin(args[1], Load{Bytes: number(args[2])})
	case "release":
		p.End(args[1], Load{Bytes: number(args[2])})
	case "choose":
		return []string{choose(p, args)}
	case "burst":
		return []string{strconv.Itoa(burst(p, args))}
	}
	return nil
}

// replicaOf parses:
// replica ID [draining] [cold-until=MS] [version=N] [incarnation=N] [in=DC].
func replicaOf(args []string) Replica {
	r := Replica{ID: args[1], Service: "s", DataCentre: "dc", Slots: 4, Versions: map[string]int{}}
	for _, arg := range args[2:] {
		key, value, _ := strings.Cut(arg, "=")
		switch key {
		case "draining":
			r.Draining = true
		case "cold-until":
			r.ColdUntil = at(value)
		case "version":
			r.Versions["m"] = number(value)
		case "incarnation":
			r.Incarnation = int64(number(value))
		case "in":
			r.DataCentre = value
		}
	}
	return r
}

// choose parses: choose MS [model] [tokens=N] [min-version=N] [priority=N] [closed=DC] [tried=ID]
// [affinity-key=KEY] [prefill-replica=ID] [missing=N] [transfer=DC:MS] [prefill=N] [events=N]
// [deadline=MS].
func choose(p *Pool, args []string) string {
	req := Request{Service: "s", ColdRate: coldRate, ClosedDataCentres: map[string]bool{}, Tried: map[string]bool{}}
	for _, arg := range args[2:] {
		key, value, _ := strings.Cut(arg, "=")
		switch key {
		case "model":
			req.Model, req.Memory = "m", memory
		case "tokens":
			req.Tokens = number(value)
		case "priority":
			req.Priority = number(value)
		case "min-version":
			req.MinVersion = number(value)
		case "closed":
			req.ClosedDataCentres[value] = true
		case "tried":
			req.Tried[value] = true
		case "affinity-key":
			req.AffinityKey = value
		case "prefill-replica":
			req.PrefillReplica = value
		case "prefill":
			req.PrefillTokens = number(value)
		case "events":
			req.Events, req.Stride = number(value), 9
		case "deadline":
			req.Deadline = at(value)
		case "missing":
			req.MissingTokens = number(value)
		case "transfer":
			dataCentre, ms, _ := strings.Cut(value, ":")
			req.Transfers = append(req.Transfers, Transfer{DataCentre: dataCentre, LinkTime: time.Duration(number(ms)) * time.Millisecond})
		}
	}
	c, reason := p.Choose(at(args[1]), req)
	if c.Wait > 0 {
		return fmt.Sprintf("%s after %v", reason, c.Wait)
	}
	if reason != "" {
		return string(reason)
	}
	if req.Model != "" {
		return fmt.Sprintf("%s version %d", c.ID, c.Version)
	}
	return c.ID
}

// burst counts the requests that get a replica if one is placed every 5 ms for a second.
func burst(p *Pool, args []string) int {
	n := 0
	for ms := 0; ms < 1000; ms += 5 {
		if _, reason := p.Choose(at(args[1]).Add(time.Duration(ms)*time.Millisecond), Request{Service: "s", ColdRate: coldRate}); reason == "" {
			n++
		}
	}
	return n
}

func at(s string) time.Time { return time.UnixMilli(1_000_000 + int64(number(s))) }

func number(s string) int {
	n, _ := strconv.Atoi(s)
	return n
}

// TestOldestInUse compares OldestInUse with a search that tries all versions.
func TestOldestInUse(t *testing.T) {
	is := is.New(t)
	rnd := rand.New(rand.NewPCG(1, 2))
	for range 5000 {
		var p Pool
		for i := range rnd.IntN(9) {
			p.Set(Replica{ID: fmt.Sprint(i), Service: "s", Versions: map[string]int{"m": rnd.IntN(10)}, Draining: rnd.IntN(4) == 0})
		}
		from, limit, share := 1+rnd.IntN(10), 1+rnd.IntN(10), []float64{0.3, 0.6, 1}[rnd.IntN(3)]
		want := min(from, limit)
		for want < limit && p.NewerShare("m", want) >= share {
			want++
		}
		is.Equal(p.OldestInUse("m", from, limit, share), want)
	}
}
