package claims

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"

	"crocusfold.dev/core/order"
	"crocusfold.dev/shell/codec"
	"crocusfold.dev/shell/logstream"
)

// Times of a runner.
const (
	tickInterval = 25 * time.Millisecond
	readWait     = 2 * time.Second
	callTimeout  = 1500 * time.Millisecond
	backoff      = 250 * time.Millisecond
	// startTimeout is how long a runner may take to reach the log at first.
	startTimeout = time.Second
	maxEvents    = 4096
)

// runner drives the register of one claim stream.
type runner struct {
	stream *logstream.Stream
	logger log.Logger
	events chan input
	// ready is closed once the log's retention is known.
	ready chan struct{}
	// failing is true from a failed append to the next that works.
	failing atomic.Bool
}

// input is an event with the channel for its reply, if it has one.
type input struct {
	event order.Event
	claim string
	reply chan order.Reply
}

func newRunner(stream *logstream.Stream, logger log.Logger) *runner {
	return &runner{
		stream: stream, logger: logger,
		events: make(chan input, maxEvents), ready: make(chan struct{}),
	}
}

// request hands an event to the register and waits for the reply.
func (r *runner) request(ctx context.Context, ev order.Event, claim string) order.Reply {
	unavailable := order.Reply{Claim: claim, Verdict: order.LogUnavailable}
	select {
	case <-r.ready:
	case <-time.After(startTimeout):
		return unavailable
	case <-ctx.Done():
		return unavailable
	}
	in := input{ev, claim, make(chan order.Reply, 1)}
	select {
	case r.events <- in:
	default:
		return order.Reply{Claim: claim, Verdict: order.Full}
	}
	select {
	case rep := <-in.reply:
		return rep
	case <-ctx.Done():
		return order.Reply{Claim: claim, Verdict: order.Undecided}
	}
}

func (r *runner) run(ctx context.Context) {
	page, ok := r.firstPage(ctx)
	if !ok {
		return
	}
	reg := &order.Registry{Retention: page.Retention}
	reg.Skip(page.Oldest)
	close(r.ready)
	go r.readLoop(ctx, reg.Next())
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	waiting := map[string][]chan order.Reply{}
	for {
		var in input
		select {
		case <-ctx.Done():
			return
		case in = <-r.events:
		case <-ticker.C:
			in.event = order.Ticked{}
		}
		if in.reply != nil {
			waiting[in.claim] = append(waiting[in.claim], in.reply)
		}
		for _, action := range reg.Step(time.Now(), in.event) {
			r.perform(ctx, action, waiting)
		}
	}
}

func (r *runner) perform(ctx context.Context, action order.Action, waiting map[string][]chan order.Reply) {
	switch a := action.(type) {
	case order.Append:
		go r.append(ctx, a.Records)
	case order.Reply:
		for _, ch := range waiting[a.Claim] {
			ch <- a
		}
		delete(waiting, a.Claim)
	}
}

func (r *runner) append(ctx context.Context, records []order.Record) {
	raw := make([][]byte, 0, len(records))
	for _, rec := range records {
		b, err := codec.Orders.Encode(rec)
		if err != nil {
			_ = r.logger.Log("msg", "Dropped a record that can't be encoded.", "err", err)
			continue
		}
		raw = append(raw, b)
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := r.stream.Append(callCtx, raw...)
	done := order.AppendDone{Failed: errors.Is(err, logstream.ErrNotWritten), Lost: errors.Is(err, logstream.ErrOutcomeUnknown)}
	if failed := err != nil; r.failing.Swap(failed) != failed {
		_ = r.logger.Log("msg", "The claims' stream changed.", "stream", r.stream.Name, "failing", failed, "err", err)
	}
	r.send(ctx, done)
}

func (r *runner) send(ctx context.Context, ev order.Event) {
	select {
	case r.events <- input{event: ev}:
	case <-ctx.Done():
	}
}

// firstPage learns the log's retention and the oldest record.
func (r *runner) firstPage(ctx context.Context) (logstream.Page, bool) {
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		page, err := r.stream.Read(callCtx, 0, 0)
		cancel()
		if err == nil {
			return page, true
		}
		pause(ctx, backoff)
	}
	return logstream.Page{}, false
}

func (r *runner) readLoop(ctx context.Context, from uint64) {
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, readWait+callTimeout)
		page, err := r.stream.Read(callCtx, from, readWait)
		cancel()
		if err != nil {
			pause(ctx, backoff)
			continue
		}
		from = max(from, page.Oldest)
		for _, rec := range page.Records {
			r.send(ctx, decode(rec))
			from = rec.Offset + 1
		}
	}
}

// decode reads one record. One that can't be read counts as none, alike for
// every reader.
func decode(rec logstream.Record) order.Read {
	read := order.Read{Offset: rec.Offset, Time: rec.Time}
	if r, err := codec.Orders.Decode(rec.Data); err == nil {
		read.Records = []order.Record{r}
	} else {
		read.Records = []order.Record{nil}
	}
	return read
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
