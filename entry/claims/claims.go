// Package claims gets claims on orders: from the register of this instance if it
// owns the claim stream, else from the instance that does.
package claims

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
	// maxClaimAttempts is how many owners are tried for one claim.
	maxClaimAttempts = 3
	retryPause       = 150 * time.Millisecond
	// reportTimeout is how long a report is repeated until it is recorded.
	reportTimeout    = 30 * time.Second
	reportRetryPause = 500 * time.Millisecond
)

// Claims routes claims to the owners of their streams. The exported fields must
// be set before Attach. It is safe for concurrent use.
type Claims struct {
	LogAddress netip.AddrPort
	Client     *http.Client
	// Streams is the number of claim streams.
	Streams  int
	Follower *configsync.Follower
	Endpoint *peerrpc.Endpoint
	Logger   log.Logger

	ctx     context.Context
	mu      sync.Mutex
	runners map[int]*runner
	// reports counts the reports that are not yet recorded.
	reports sync.WaitGroup
}

// Attach prepares the desk to answer peers; its work ends with ctx.
func (c *Claims) Attach(ctx context.Context) {
	c.ctx = ctx
	c.runners = map[int]*runner{}
	c.Endpoint.Handle(c.handle)
}

// Claim asks for the right to run an order. Anything but Granted means that the
// asker must not run it.
func (c *Claims) Claim(ctx context.Context, req message.ClaimRequest) message.ClaimResponse {
	unavailable := message.ClaimResponse{Verdict: order.LogUnavailable}
	if c.Follower.Freshness(time.Now()) == freshness.LogDown {
		return unavailable
	}
	for range maxClaimAttempts {
		if deadline, ok := ctx.Deadline(); ok {
			req.Wait = min(req.Wait, time.Until(deadline))
		}
		owner, ok := c.owner(req.Key)
		if !ok {
			return unavailable
		}
		resp, err := peerrpc.Call[message.ClaimResponse](ctx, c.Endpoint, owner, req)
		if err == nil {
			return resp
		}
		if ctx.Err() != nil {
			break
		}
		c.Follower.MarkUnreachable(time.Now(), owner.Name)
		pause(ctx, retryPause)
	}
	return message.ClaimResponse{Verdict: order.Undecided}
}

// Report reports the end of a claim in the background until it is recorded.
func (c *Claims) Report(report message.ClaimReport) {
	c.reports.Go(func() {
		ctx, cancel := context.WithTimeout(c.ctx, reportTimeout)
		defer cancel()
		for ctx.Err() == nil {
			if c.sendReport(ctx, report) {
				return
			}
			pause(ctx, reportRetryPause)
		}
		_ = c.Logger.Log("msg", "The end of an order was not recorded.", "claim", report.Claim)
	})
}

// Drain waits until all reports are recorded or given up.
func (c *Claims) Drain() { c.reports.Wait() }

func (c *Claims) sendReport(ctx context.Context, report message.ClaimReport) bool {
	owner, ok := c.owner(report.Key)
	if !ok {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, 2*callTimeout)
	defer cancel()
	resp, err := peerrpc.Call[message.ClaimResponse](ctx, c.Endpoint, owner, report)
	return err == nil && resp.Verdict == order.Recorded
}

func (c *Claims) owner(key order.Key) (roster.Member, bool) {
	name := fmt.Sprintf("claims/%d", key.Shard(c.Streams))
	return roster.Owner(name, c.Follower.Live(time.Now()))
}

// handle answers the peers' claims. It does not check that this instance owns
// the stream: the order of the log decides, whoever appends to it.
func (c *Claims) handle(ctx context.Context, _ string, msg message.Message) (message.Message, bool, error) {
	switch m := msg.(type) {
	case message.ClaimRequest:
		ctx, cancel := context.WithTimeout(ctx, m.Wait)
		defer cancel()
		// The register answers a little before the asker stops waiting.
		deadline := time.Now().Add(m.Wait - 4*tickInterval)
		ev := order.Requested{Key: m.Key, Claim: m.Claim, KeyTime: m.KeyTime, Deadline: deadline}
		rep := c.runner(m.Key).request(ctx, ev, m.Claim)
		return message.ClaimResponse{Verdict: rep.Verdict, Response: rep.Response}, true, nil
	case message.ClaimReport:
		ev := order.Finished{Key: m.Key, Claim: m.Claim, NotRun: m.NotRun, Response: m.Response}
		rep := c.runner(m.Key).request(ctx, ev, m.Claim)
		return message.ClaimResponse{Verdict: rep.Verdict}, true, nil
	default:
		return nil, false, nil
	}
}

func (c *Claims) runner(key order.Key) *runner {
	shard := key.Shard(c.Streams)
	c.mu.Lock()
	defer c.mu.Unlock()
	r, ok := c.runners[shard]
	if !ok {
		stream := &logstream.Stream{Address: c.LogAddress, Name: fmt.Sprintf("claims-%d", shard), Client: c.Client}
		r = newRunner(stream, c.Logger)
		c.runners[shard] = r
		go r.run(c.ctx)
	}
	return r
}
