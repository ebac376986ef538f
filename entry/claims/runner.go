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

// Intervals, timeouts and bounds of a runner.
const (
	// tickInterval is the interval between two Ticked events to the registry.
	tickInterval = 25 * time.Millisecond
	// readWait is how long a read of the log waits for the first new record.
	readWait    = 2 * time.Second
	callTimeout = 1500 * time.Millisecond
	// backoff is the pause after a failed read.
	backoff = 250 * time.Millisecond
	// startTimeout is how long a request waits for a runner's first read of the log.
	startTimeout = time.Second
	// maxEvents bounds the events that are queued for the registry. Further requests
	// are refused with order.Full.
	maxEvents = 4096
)

// runner runs the registry of one claim stream: it passes requests, records of the log
// and time to the registry and carries out the resulting actions.
type runner struct {
	stream *logstream.Stream
	logger log.Logger
	events chan input
	// ready is closed once the log's retention has been read.
	ready chan struct{}
	// failing is true if the last append failed.
	failing atomic.Bool
}

// input is an event for the registry. For an event that is replied to, claim and reply
// name the claim and the channel for the reply; otherwise reply is nil.
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

// request passes an event to the registry and returns its reply. If there is none, the
// verdict is LogUnavailable when the log was not read yet, Full when too many events
// are queued, and Undecided when ctx ended first.
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

// run reads and processes the stream until ctx ends.
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

// perform carries out an action of the registry. waiting has the channels for the
// replies, by claim.
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

// append writes records to the log in one call and reports the result to the registry.
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
		_ = r.logger.Log("msg", "The state of a claim stream changed.", "stream", r.stream.Name, "failing", failed, "err", err)
	}
	r.send(ctx, done)
}

func (r *runner) send(ctx context.Context, ev order.Event) {
	select {
	case r.events <- input{event: ev}:
	case <-ctx.Done():
	}
}

// firstPage reads the log's retention and the offset of its oldest record. It retries
// until it succeeds, or returns false once ctx has ended.
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

// readLoop passes the records from an offset on to the registry until ctx ends.
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

// decode decodes one record. A record that can't be decoded becomes nil and keeps its
// offset. Every reader does so, and thus all reach the same state.
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
