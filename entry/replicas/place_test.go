package replicas

import (
	"math"
	"net/netip"
	"strconv"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/matryer/is"

	"crocusfold.dev/core/directory"
	"crocusfold.dev/core/pool"
	"crocusfold.dev/core/route"
	"crocusfold.dev/core/statedlimit"
	"crocusfold.dev/core/topicview"
	"crocusfold.dev/entry/adapter"
	"crocusfold.dev/entry/edgeconfig"
	"crocusfold.dev/entry/message"
	"crocusfold.dev/shell/network"
)

// TestContextOfOldWeights checks that context of old weights is no longer fetched once
// most replicas hold newer weights, since it will be freed soon.
func TestContextOfOldWeights(t *testing.T) {
	for _, c := range []struct {
		name  string
		newer int
		fetch bool
	}{
		{"one of three replicas has newer weights", 1, true},
		{"two of three replicas have newer weights", 2, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			now := time.UnixMilli(1_000_000)
			rs := &Replicas{
				Network: network.Network{}, Logger: log.NewNopLogger(), Bounds: &edgeconfig.LiveBounds{}, Now: func() time.Time { return now },
			}
			rs.Bounds.Set(edgeconfig.Bounds{Version: time.Minute})
			store := route.Service{Name: "kept", Store: &route.Store{Address: netip.MustParseAddrPort("10.0.0.9:80"), Capacity: 10_000}}
			table := func() *route.Table {
				return route.NewTable(1, route.Limits{}, nil, []route.Service{store}, nil, false)
			}
			rs.Configure(&adapter.Intent{Table: table(), Versions: map[string]int{"m": 1}})
			// A new instance fetches only context of the newest weights until startupTime
			// has passed.
			now = now.Add(startupTime)
			rs.Configure(&adapter.Intent{Table: table(), Versions: map[string]int{"m": 2}})
			part := directory.Part{Salt: directory.Salt("m", 1, ""), ID: "p"}
			rs.WithDirectory(func(d *directory.Directory) {
				d.Replace(now, "kept", directory.Listing{Epoch: 1, Last: 1, Held: map[directory.Part]int{part: 100}})
			})
			attempted := map[string]bool{}
			for i, id := range []string{"a", "b", "c"} {
				version := 1
				if i < c.newer {
					version, attempted[id] = 2, true
				}
				rs.WithPool(func(p *pool.Pool) {
					p.Set(pool.Replica{ID: id, Service: "s", Slots: 4, Versions: map[string]int{"m": version}})
				})
			}
			p, refusal := rs.Place(now, PlacementRequest{
				Request: pool.Request{Service: "s", Model: "m", Memory: 10_000, Tokens: 200, Tried: attempted},
				Parts:   []adapter.PromptPart{{ID: "p", Tokens: 100}, {ID: "own", Tokens: 100}}, PromptTokens: 200, TargetLatency: time.Second,
			})
			is.Equal(refusal, Refusal{})
			is.Equal(p.Version, 1)
			fetched := len(p.Fetch) > 0 && p.Fetch[0].IsValid()
			is.Equal(fetched, c.fetch)
		})
	}
}

// TestDeniedRequestReservesNothing guards against space in the stores that is reserved for
// requests which their replicas' limits deny.
func TestDeniedRequestReservesNothing(t *testing.T) {
	is := is.New(t)
	now := time.UnixMilli(1_000_000)
	rs := &Replicas{
		Network: network.Network{}, Logger: log.NewNopLogger(), Bounds: &edgeconfig.LiveBounds{}, Now: func() time.Time { return now },
	}
	rs.Bounds.Set(edgeconfig.Bounds{Version: time.Minute})
	store := route.Service{Name: "kept", Store: &route.Store{Address: netip.MustParseAddrPort("10.0.0.9:80"), Capacity: 10_000}}
	rs.Configure(&adapter.Intent{Table: route.NewTable(1, route.Limits{}, nil, []route.Service{store}, nil, false), Versions: map[string]int{"m": 1}})
	rs.WithDirectory(func(d *directory.Directory) { d.Replace(now, "kept", directory.Listing{Epoch: 1, Last: 1}) })
	rs.WithPool(func(p *pool.Pool) {
		p.Set(pool.Replica{ID: "a", Service: "s", Slots: 4, Versions: map[string]int{"m": 1}})
		p.ObserveLimit(now, "a", 0, statedlimit.Statement{Limited: true, Rate: 1, SentAt: now, ReceivedAt: now})
	})
	place := func() *Placement {
		p, refusal := rs.Place(now, PlacementRequest{
			Request: pool.Request{Service: "s", Model: "m", Memory: 10_000, Tokens: 200},
			Parts:   []adapter.PromptPart{{ID: "p", Tokens: 160}, {ID: "own", Tokens: 40}}, PromptTokens: 200, TargetLatency: time.Second,
		})
		is.Equal(refusal, Refusal{})
		return p
	}
	saving := func() bool {
		pending := false
		rs.WithDirectory(func(d *directory.Directory) {
			_, pending = d.SavingReplica(now, directory.Part{Salt: directory.Salt("m", 1, ""), ID: "p"})
		})
		return pending
	}
	denied := place()
	rs.End(denied)
	is.True(!saving()) // nothing is reserved for a denied request
	granted := place()
	rs.Granted(now, granted)
	is.True(saving()) // the granted one saves its part
	rs.End(granted)
	rs.WithPool(func(p *pool.Pool) { is.Equal(p.Load(now, "a"), pool.Load{}) })
}

// TestLastCheckBeforeSending guards against requests that are sent although their replica
// stated a limit after they were placed, or long after they were granted.
func TestLastCheckBeforeSending(t *testing.T) {
	is := is.New(t)
	now := time.UnixMilli(1_000_000)
	rs := &Replicas{Network: network.Network{}, Logger: log.NewNopLogger(), Bounds: &edgeconfig.LiveBounds{}}
	rs.WithPool(func(p *pool.Pool) {
		p.Set(pool.Replica{ID: "a", Service: "s", Slots: 4, Versions: map[string]int{}})
	})
	p, _ := rs.Place(now, PlacementRequest{Request: pool.Request{Service: "s"}})
	is.True(rs.MaySend(now, p)) // no limit is known
	rs.ObserveLimit(now, p, statedlimit.Statement{Limited: true, Rate: 1, SentAt: now, ReceivedAt: now})
	is.True(!rs.MaySend(now, p)) // the limit was stated after the request was placed
	rs.Granted(now, p)
	is.True(rs.MaySend(now.Add(grantTTL-1), p))
	is.True(!rs.MaySend(now.Add(grantTTL), p)) // the grant has expired
}

// TestLimitBeforeList guards against a process that has just started and forgets the limits
// which it received before the list of replicas.
func TestLimitBeforeList(t *testing.T) {
	is := is.New(t)
	now := time.UnixMilli(1_000_000)
	rs := &Replicas{Network: network.Network{}, Logger: log.NewNopLogger(), Decoder: decoder{}, Bounds: &edgeconfig.LiveBounds{}}
	limit := message.ReplicaLimit{Replica: "a", Incarnation: 7, Limited: true, Rate: 1}
	rs.MergeLimits(now, "peer", 0, []message.ReplicaLimit{limit})
	rs.ApplyRecords(now, []topicview.Record{{Key: "a", Value: []byte("7")}}, now)
	l, ok := rs.Limit("a", 7)
	is.True(ok && l.Limited)
	rs.MergeLimits(now, "peer", 0, []message.ReplicaLimit{{Replica: "a", Incarnation: 8, Limited: true, Rate: 2}})
	l, _ = rs.Limit("a", 7)
	is.Equal(l.Rate, 1.0) // the limit is of the next incarnation
	rs.ApplyRecords(now, []topicview.Record{{Key: "a", Value: []byte("8")}}, now)
	l, _ = rs.Limit("a", 8)
	is.Equal(l.Rate, 2.0)
}

// decoder decodes records whose value is the incarnation of a replica.
type decoder struct{ adapter.Decoder }

func (decoder) Replica(_ time.Time, rec topicview.Record) (pool.Replica, error) {
	n, err := strconv.ParseInt(string(rec.Value), 10, 64)
	return pool.Replica{ID: rec.Key, Service: "s", Incarnation: n}, err
}

// TestVersionsAreAnyNumbers guards against work that grows with the number of a weight version, which
// the operators choose. A second version that is far above the first is named and loaded.
func TestVersionsAreAnyNumbers(t *testing.T) {
	for _, version := range []int{2, 1_796_601_600, 1 << 53, math.MaxInt} {
		is := is.New(t)
		now := time.UnixMilli(1_000_000)
		rs := &Replicas{
			Network: network.Network{}, Logger: log.NewNopLogger(), Bounds: &edgeconfig.LiveBounds{}, Now: func() time.Time { return now },
		}
		configure := func(version int) {
			rs.Configure(&adapter.Intent{Table: route.NewTable(1, route.Limits{}, nil, nil, nil, false), Versions: map[string]int{"m": version}})
		}
		set := func(id string, version int) {
			rs.WithPool(func(p *pool.Pool) {
				p.Set(pool.Replica{ID: id, Service: "s", Slots: 4, Versions: map[string]int{"m": version}})
			})
		}
		configure(1)
		now = now.Add(startupTime)
		for _, id := range []string{"a", "b", "c"} {
			set(id, 1)
		}
		configure(version)
		is.Equal(rs.OldestFetchedVersions(now), map[string]int{"m": 1})
		set("a", version)
		is.Equal(rs.OldestFetchedVersions(now), map[string]int{"m": 1})
		set("b", version)
		is.Equal(rs.OldestFetchedVersions(now), map[string]int{"m": version})

		started := &Replicas{Logger: log.NewNopLogger(), Bounds: &edgeconfig.LiveBounds{}, Now: func() time.Time { return now }}
		started.Configure(&adapter.Intent{Table: route.NewTable(1, route.Limits{}, nil, nil, nil, false), Versions: map[string]int{"m": version}})
		is.Equal(started.OldestFetchedVersions(now), map[string]int{"m": version})
	}
}
