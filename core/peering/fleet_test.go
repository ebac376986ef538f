package peering

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sort"
	"strconv"
	"strings"
	"testing"
	"time"

	"crocusfold.dev/core/limitgroup"
	"crocusfold.dev/core/membership"
	"crocusfold.dev/script"
)

// TestFleet simulates fleets of instances that call each other. The commands are:
//
//	fleet SIZE CENTRES [known]: start all at once; with known, each knows all others
//	lose SHARE, late SHARE: the share of messages that are lost, or take 300 ms
//	run TIME: let time pass
//	kill, freeze, wake or restart NAMES: a restart uses the seeds now in force
//	partition CENTRE: drop all messages into and out of a data centre
//	one-way NAME: drop all messages to an instance, but not those that it sends
//	heal: end the effects of partition and one-way
//	seeds NAMES: the seeds of instances that start later
//	add COUNT CENTRE: start further instances
//	publish NAME: start an update at an instance, which all others pass on
//	received-within TIME: let time pass, and print whether all running instances have
//	  the update
//	members, roots, readers, store-readers, peers, calls: see show
func TestFleet(t *testing.T) {
	script.Run(t, "testdata/*.txt", func(t *testing.T) func([]string) []string {
		f := &fleet{t: t, random: rand.New(rand.NewPCG(1, 2)), now: time.UnixMilli(1_000_000)}
		return f.do
	})
}

const (
	messageDelay     = 2 * time.Millisecond
	lateMessageDelay = 300 * time.Millisecond
	callTimeout      = 500 * time.Millisecond
	step             = 20 * time.Millisecond
)

type node struct {
	Peering
	entry  membership.Entry
	seeds  []netip.AddrPort
	up     bool
	frozen bool
	// inboundCut drops all messages to the instance.
	inboundCut bool
	// callAll requests calls of all peers in the next step.
	callAll bool
	// update is the number of the newest update that it has received.
	update int
	calls  int
	// limits is its state in the model of limits; nil in other tests.
	limits *limitState
}

type event struct {
	at time.Time
	do func()
}

type fleet struct {
	t                    *testing.T
	random               *rand.Rand
	now                  time.Time
	nodes                []*node
	byAddress            map[netip.AddrPort]*node
	events               []event
	lossShare, lateShare float64
	// partitioned is the data centre that exchanges no messages with the others.
	partitioned string
	seeds       []netip.AddrPort
	lastUpdate  int
	process     uint64
}

func (f *fleet) do(args []string) []string {
	switch args[0] {
	case "fleet":
		f.create(atoi(args[1]), atoi(args[2]), len(args) > 3)
	case "lose":
		f.lossShare, _ = strconv.ParseFloat(args[1], 64)
	case "late":
		f.lateShare, _ = strconv.ParseFloat(args[1], 64)
	case "run":
		f.run(duration(args[1]))
	case "kill", "freeze", "wake", "restart", "one-way":
		for _, n := range f.named(args[1:]) {
			f.changeNode(args[0], n)
		}
	case "partition":
		f.partitioned = args[1]
	case "heal":
		f.partitioned = ""
		for _, n := range f.nodes {
			n.inboundCut = false
		}
	case "seeds":
		f.seeds = nil
		for _, n := range f.named(args[1:]) {
			f.seeds = append(f.seeds, n.entry.Address)
		}
	case "add":
		for range atoi(args[1]) {
			f.startNode(f.add(args[2], 200))
		}
	case "publish":
		f.lastUpdate++
		n := f.named(args[1:])[0]
		n.update, n.callAll = f.lastUpdate, true
	case "received-within":
		return []string{fmt.Sprint(f.receivedWithin(duration(args[1])))}
	default:
		return f.show(args)
	}
	return nil
}

// show prints one figure of the running instances:
//
//	members MIN: how many know fewer than MIN others that are alive
//	peers MAX: how many have more than MAX responsive peers
//	roots MAX: whether there are at most MAX roots
//	readers, store-readers: how many there are
//	calls MAX: whether the mean number of calls of an instance since the last such
//	  command is at most MAX; this includes instances that are not running
func (f *fleet) show(args []string) []string {
	count := 0
	for _, n := range f.nodes {
		if !n.up || n.frozen {
			continue
		}
		switch args[0] {
		case "members":
			if n.AliveCount() < atoi(args[1]) {
				count++
			}
		case "roots":
			if n.Place().Root {
				count++
			}
		case "readers":
			if n.ReadsTopics(f.now, true) {
				count++
			}
		case "store-readers":
			if n.StoreReader(f.now, true) == n.entry.Address {
				count++
			}
		case "peers":
			responsive := 0
			for _, p := range n.peers {
				if p.responsive(f.now) {
					responsive++
				}
			}
			if responsive > atoi(args[1]) {
				count++
			}
		}
	}
	if args[0] == "roots" {
		return []string{fmt.Sprint(count <= atoi(args[1]))}
	}
	if args[0] == "calls" {
		sum := 0
		for _, n := range f.nodes {
			sum += n.calls
			n.calls = 0
		}
		return []string{fmt.Sprint(float64(sum)/float64(len(f.nodes)) <= float64(atoi(args[1])))}
	}
	return []string{strconv.Itoa(count)}
}

func (f *fleet) create(size, centres int, known bool) {
	f.byAddress = map[netip.AddrPort]*node{}
	for i := range size {
		power := 200
		if i < 3*centres {
			power = 800
		}
		f.add(string(rune('a'+i%centres)), power)
	}
	for _, n := range f.nodes[:3] {
		f.seeds = append(f.seeds, n.entry.Address)
	}
	for _, n := range f.nodes {
		f.startNode(n)
	}
	if !known {
		return
	}
	for _, n := range f.nodes {
		for _, o := range f.nodes {
			n.members.Merge(f.now, o.entry)
		}
	}
}

func (f *fleet) add(centre string, power int) *node {
	i := len(f.nodes) + 1
	n := &node{entry: membership.Entry{
		Name: fmt.Sprintf("n%d", i), DataCentre: centre, MilliCPU: power,
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 1),
	}}
	f.nodes = append(f.nodes, n)
	f.byAddress[n.entry.Address] = n
	return n
}

// startNode starts a new process of an instance.
func (f *fleet) startNode(n *node) {
	f.process++
	n.seeds = f.seeds
	n.entry.Revision++
	n.Start(f.now, n.entry, f.process, n.seeds)
	n.up, n.frozen, n.update = true, false, 0
}

func (f *fleet) named(names []string) []*node {
	var out []*node
	for _, name := range names {
		from, to, ranged := strings.Cut(strings.ReplaceAll(name, "n", ""), "-")
		if !ranged {
			to = from
		}
		for i := atoi(from); i <= atoi(to); i++ {
			out = append(out, f.nodes[i-1])
		}
	}
	return out
}

func (f *fleet) changeNode(what string, n *node) {
	switch what {
	case "kill":
		n.up = false
	case "freeze":
		n.frozen = true
	case "wake":
		n.frozen = false
	case "restart":
		f.startNode(n)
	case "one-way":
		n.inboundCut = true
	}
}

func (f *fleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(step) {
		f.deliver()
		for _, n := range f.nodes {
			if n.up && !n.frozen {
				f.callDue(n)
			}
		}
	}
}

func (f *fleet) receivedWithin(d time.Duration) bool {
	f.run(d)
	for _, n := range f.nodes {
		if n.up && !n.frozen && n.update != f.lastUpdate {
			return false
		}
	}
	return true
}

func (f *fleet) deliver() {
	for len(f.events) > 0 && !f.events[0].at.After(f.now) {
		ev := f.events[0]
		f.events = f.events[1:]
		ev.do()
	}
}

func (f *fleet) schedule(d time.Duration, do func()) {
	at := f.now.Add(d)
	i := sort.Search(len(f.events), func(i int) bool { return f.events[i].at.After(at) })
	f.events = append(f.events, event{})
	copy(f.events[i+1:], f.events[i:])
	f.events[i] = event{at, do}
}

// callDue makes the calls of an instance that are due.
func (f *fleet) callDue(n *node) {
	all := n.callAll
	n.callAll = false
	calls, _ := n.Due(f.now, all)
	sort.Slice(calls, func(i, j int) bool { return calls[i].Address.Compare(calls[j].Address) < 0 })
	for _, c := range calls {
		n.calls++
		f.call(n, c.Address)
	}
}

// call sends a request to a peer. It ends with the response or with the time-out.
func (f *fleet) call(n *node, to netip.AddrPort) {
	process, done := n.process, false
	request, since := n.RequestHeader(f.now, to)
	request.ReachesLog = true
	update := n.update
	stated := n.limits.changedSince(f.now, since)
	finish := func(ok bool) {
		if !done && n.up && n.process == process {
			done = true
			n.Done(f.now, to, ok)
		}
	}
	f.schedule(callTimeout, func() { finish(false) })
	o := f.byAddress[to]
	f.send(n, o, func() {
		o.Receive(f.now, request)
		o.mergeLimits(f.now, request.Address, stated)
		if update > o.update {
			o.CallSoon(f.now, request.Address)
		}
		response, since := o.ResponseHeader(f.now, request)
		response.ReachesLog = true
		stated := o.limits.changedSince(f.now, since)
		peerUpdate := o.update
		f.send(o, n, func() {
			if done || n.process != process {
				return
			}
			finish(true)
			n.Receive(f.now, response)
			n.mergeLimits(f.now, to, stated)
			if peerUpdate > n.update {
				n.update, n.callAll = peerUpdate, true
			}
		})
	})
}

// send delivers a message from one instance to another, unless it is lost.
func (f *fleet) send(from, to *node, do func()) {
	partitioned := f.partitioned != "" && (from.entry.DataCentre == f.partitioned) != (to.entry.DataCentre == f.partitioned)
	if partitioned || to.inboundCut || f.random.Float64() < f.lossShare {
		return
	}
	wait := messageDelay
	if f.random.Float64() < f.lateShare {
		wait = lateMessageDelay
	}
	f.schedule(wait, func() {
		if to.up && !to.frozen {
			do()
		}
	})
}

func atoi(s string) int {
	n, _ := strconv.Atoi(s)
	return n
}

func duration(s string) time.Duration {
	d, _ := time.ParseDuration(s)
	return d
}

// TestSharesSumToOne guards against limits that are exceeded, or that can't be used up,
// because the shares of the instances do not add up to 1 in fleets of some size. It also
// checks that a third of the instances being unreachable never takes away all sharers of
// a key, so that a cold replica still gets requests.
func TestSharesSumToOne(t *testing.T) {
	const maxSharers = 11
	for _, size := range []int{1, 8, 24, 88, 200, 370} {
		all := make([]netip.AddrPort, size)
		for i := range all {
			all[i] = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), 1)
		}
		for key := range uint64(50) {
			sum, sharers, unreachable := 0.0, 0, 0
			for i, self := range all {
				share := limitgroup.New(self, all).Share(key, maxSharers)
				sum += share
				if share > 0 {
					sharers++
					if i%3 == 0 {
						unreachable++
					}
				}
			}
			if sum > 1.000001 || sum < 0.999999 || sharers != min(size, maxSharers) {
				t.Fatalf("%d instances: the shares of key %d add up to %v over %d instances", size, key, sum, sharers)
			}
			if size >= maxSharers && unreachable == sharers {
				t.Fatalf("%d instances: all sharers of key %d are in the unreachable third", size, key)
			}
		}
	}
}
