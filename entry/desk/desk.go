// Package desk gets claims on orders: from the register of this instance if it
// owns the claim stream, else from the instance that does.
package desk

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/go-kit/log"

	"crocusfold.dev/core/freshness"
	"crocusfold.dev/core/order"
	"crocusfold.dev/core/roster"
	"crocusfold.dev/entry/configsync"
	"crocusfold.dev/entry/message"
	"crocusfold.dev/entry/peerrpc"
	"crocusfold.dev/shell/logstream"
)

// Limits of a claim's way to the log.
const (
	// claimTries is how many owners are tried for one claim.
	claimTries = 3
	retryPause = 150 * time.Millisecond
	// settleLimit is how long a report is repeated until it is recorded.
	settleLimit = 30 * time.Second
	settlePause = 500 * time.Millisecond
)

// Desk routes claims to the owners of their streams. The exported fields must
// be set before Attach. It is safe for concurrent use.
type Desk struct {
	Log    netip.AddrPort
	Client *http.Client
	// Streams is the number of claim streams.
	Streams int
	Follow  *configsync.Follower
	Mesh    *peerrpc.Endpoint
	Logger  log.Logger

	ctx     context.Context
	mu      sync.Mutex
	runners map[int]*runner
	// settles counts the reports that are not yet recorded.
	settles sync.WaitGroup
}

// Attach prepares the desk to answer peers; its work ends with ctx.
func (d *Desk) Attach(ctx context.Context) {
	d.ctx = ctx
	d.runners = map[int]*runner{}
	d.Mesh.Handle(d.handle)
}

// Claim asks for the right to run an order. Anything but Granted means that the
// asker must not run it.
func (d *Desk) Claim(ctx context.Context, ask message.ClaimRequest) message.ClaimResponse {
	unavailable := message.ClaimResponse{Verdict: order.LogUnavailable}
	if d.Follow.Freshness(time.Now()) == freshness.LogDown {
		return unavailable
	}
	for range claimTries {
		if deadline, ok := ctx.Deadline(); ok {
			ask.Wait = min(ask.Wait, time.Until(deadline))
		}
		owner, ok := d.owner(ask.Key)
		if !ok {
			return unavailable
		}
		rep, err := peerrpc.Call[message.ClaimResponse](ctx, d.Mesh, owner, ask)
		if err == nil {
			return rep
		}
		if ctx.Err() != nil {
			break
		}
		d.Follow.MarkUnreachable(time.Now(), owner.Name)
		pause(ctx, retryPause)
	}
	return message.ClaimResponse{Verdict: order.Undecided}
}

// Settle reports the end of a claim in the background until it is recorded.
func (d *Desk) Settle(end message.ClaimReport) {
	d.settles.Go(func() {
		ctx, cancel := context.WithTimeout(d.ctx, settleLimit)
		defer cancel()
		for ctx.Err() == nil {
			if d.settleOnce(ctx, end) {
				return
			}
			pause(ctx, settlePause)
		}
		_ = d.Logger.Log("msg", "The end of an order was not recorded.", "claim", end.Claim)
	})
}

// Drain waits until all reports are recorded or given up.
func (d *Desk) Drain() { d.settles.Wait() }

func (d *Desk) settleOnce(ctx context.Context, end message.ClaimReport) bool {
	owner, ok := d.owner(end.Key)
	if !ok {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, 2*callLimit)
	defer cancel()
	rep, err := peerrpc.Call[message.ClaimResponse](ctx, d.Mesh, owner, end)
	return err == nil && rep.Verdict == order.Recorded
}

func (d *Desk) owner(key order.Key) (roster.Member, bool) {
	name := fmt.Sprintf("claims/%d", key.Shard(d.Streams))
	return roster.Owner(name, d.Follow.Live(time.Now()))
}

// handle answers the peers' claims. It does not check that this instance owns
// the stream: the order of the log decides, whoever appends to it.
func (d *Desk) handle(ctx context.Context, _ string, msg message.Message) (message.Message, bool, error) {
	switch m := msg.(type) {
	case message.ClaimRequest:
		ctx, cancel := context.WithTimeout(ctx, m.Wait)
		defer cancel()
		// The register answers a little before the asker stops waiting.
		deadline := time.Now().Add(m.Wait - 4*tickInterval)
		ev := order.Requested{Key: m.Key, Claim: m.Claim, KeyTime: m.KeyTime, Deadline: deadline}
		rep := d.runner(m.Key).ask(ctx, ev, m.Claim)
		return message.ClaimResponse{Verdict: rep.Verdict, Response: rep.Response}, true, nil
	case message.ClaimReport:
		ev := order.Finished{Key: m.Key, Claim: m.Claim, NotRun: m.NotRun, Response: m.Response}
		rep := d.runner(m.Key).ask(ctx, ev, m.Claim)
		return message.ClaimResponse{Verdict: rep.Verdict}, true, nil
	default:
		return nil, false, nil
	}
}

func (d *Desk) runner(key order.Key) *runner {
	shard := key.Shard(d.Streams)
	d.mu.Lock()
	defer d.mu.Unlock()
	r, ok := d.runners[shard]
	if !ok {
		stream := &logstream.Stream{Address: d.Log, Name: fmt.Sprintf("claims-%d", shard), Client: d.Client}
		r = newRunner(stream, d.Logger)
		d.runners[shard] = r
		go r.run(d.ctx)
	}
	return r
}
