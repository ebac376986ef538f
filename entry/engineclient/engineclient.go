// Package engineclient sends completion requests to model engines and reads the event
// streams of their responses.
package engineclient

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"crocusfold.dev/core/attempt"
	"crocusfold.dev/core/upstream"
	"crocusfold.dev/entry/guard"
)

// Errors of Open and Next.
var (
	// ErrRefused means that the engine provably did not run the request.
	ErrRefused = errors.New("the engine refused the request")
	// ErrFailed means that the engine returned an error and may have run the request.
	ErrFailed = errors.New("the engine failed")
	// ErrStopped means that the check right before the first write failed; nothing was
	// written.
	ErrStopped = errors.New("the request was stopped before it was sent")
	// ErrUnreachable means that the request failed before the first write, such as
	// when no connection could be opened; nothing was written.
	ErrUnreachable = errors.New("the engine can't be reached")
	// ErrBroken means that the connection failed after the first write, that the
	// stream ended without its end marker, or that an event was invalid.
	ErrBroken = errors.New("the engine's stream broke")
	// ErrStalled means that no event arrived in time; the engine may be alive.
	ErrStalled = errors.New("the engine's stream stalled")
	// ErrWrongRequest means that the response belongs to another request or attempt.
	ErrWrongRequest = errors.New("the engine answered another request")
	// ErrWrongVersion means that the response comes from another weight version.
	ErrWrongVersion = errors.New("the engine holds another weight version")
)

// stallTimeout is the longest time between two events of a stream.
const stallTimeout = 2 * time.Second

// maxEventBytes bounds one line of a stream, in bytes.
const maxEventBytes = 1 << 20

// Request is the content of one attempt at an engine.
type Request struct {
	ID       string
	Attempt  int
	Account  string
	Version  string
	Priority string
	// ResumeFrom is the number of tokens that the caller already has.
	ResumeFrom int
	// FirstEventTimeout is how long the first event may take, counted from the call of
	// Open.
	FirstEventTimeout time.Duration
	Body              []byte
}

// Event is one event of a stream.
type Event struct {
	// Tokens is the number of response tokens up to and including this event.
	Tokens int
	Data   []byte
}

// Stream is the event stream of an engine's response.
type Stream struct {
	Incarnation string
	body        io.ReadCloser
	scanner     *bufio.Scanner
	ctx         context.Context
	cancel      context.CancelCauseFunc
	stallTimer  *time.Timer
}

// Client opens streams. HTTP must be set, with a transport from guard.Transport.
type Client struct {
	HTTP *http.Client
}

// Open sends a request and checks the header of the response. The attempt begins right
// before the first write. The error wraps one of the package's errors, unless the
// request can't be built. The caller must close the stream.
func (c *Client) Open(ctx context.Context, att *attempt.Attempt, u upstream.Upstream, r Request) (*Stream, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	stallTimer := time.AfterFunc(r.FirstEventTimeout, func() { cancel(ErrStalled) })
	var conn atomic.Pointer[guard.Conn]
	req, err := newRequest(guard.WithAttempt(ctx, att, func(used *guard.Conn) { conn.Store(used) }), u, r)
	if err != nil {
		stallTimer.Stop()
		cancel(nil)
		return nil, err
	}
	resp, err := c.HTTP.Do(req)
	if err != nil {
		defer cancel(nil)
		defer stallTimer.Stop()
		// The transport may still be about to write. Revoking the attempt ensures that
		// no write follows once the request is reported as not run.
		att.Revoke()
		if errors.Is(err, attempt.ErrRevoked) || errors.Is(err, attempt.ErrDeadline) {
			return nil, fmt.Errorf("%w: %w", ErrStopped, err)
		}
		if att.RunState() == attempt.NotRun {
			return nil, fmt.Errorf("%w: %w", ErrUnreachable, err)
		}
		return nil, fmt.Errorf("%w: %w", streamError(ctx), err)
	}
	s := &Stream{Incarnation: resp.Header.Get("X-Incarnation"), body: resp.Body, ctx: ctx, cancel: cancel, stallTimer: stallTimer}
	if err := checkResponse(resp, conn.Load(), att, r); err != nil {
		s.Close()
		return nil, err
	}
	s.scanner = bufio.NewScanner(resp.Body)
	s.scanner.Buffer(nil, maxEventBytes)
	return s, nil
}

// streamError returns ErrStalled if the stall timer cancelled ctx, otherwise ErrBroken.
func streamError(ctx context.Context) error {
	if errors.Is(context.Cause(ctx), ErrStalled) {
		return ErrStalled
	}
	return ErrBroken
}

func newRequest(ctx context.Context, u upstream.Upstream, r Request) (*http.Request, error) {
	url := "http://" + u.Address.String() + "/v1/chat/completions"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(r.Body))
	if err != nil {
		return nil, fmt.Errorf("preparing a request for %s: %w", u.Name, err)
	}
	// Without GetBody, the transport can't retry the request on its own.
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Request-Id", r.ID)
	req.Header.Set("X-Attempt", strconv.Itoa(r.Attempt))
	req.Header.Set("X-Cache-Salt", r.Account)
	req.Header.Set("X-Expected-Version", r.Version)
	req.Header.Set("X-Priority", r.Priority)
	if r.ResumeFrom > 0 {
		req.Header.Set("X-Resume-From", strconv.Itoa(r.ResumeFrom))
	}
	return req, nil
}

// checkResponse checks the status of a response, which came on conn, and that it belongs
// to this attempt and weight version. It marks the attempt as refused if the engine states
// that this request was not run.
func checkResponse(resp *http.Response, conn *guard.Conn, att *attempt.Attempt, r Request) error {
	if resp.StatusCode != http.StatusOK {
		kind := ErrFailed
		if resp.Header.Get("X-Run") == string(attempt.NotRun) && conn.BelieveRefusal(r.ID, resp.Header.Get("X-Request-Id")) {
			att.MarkRefused()
			kind = ErrRefused
		}
		text, _ := io.ReadAll(io.LimitReader(resp.Body, 512))
		return fmt.Errorf("%w: status %d: %s", kind, resp.StatusCode, strings.TrimSpace(string(text)))
	}
	if resp.Header.Get("X-Request-Id") != r.ID || resp.Header.Get("X-Attempt") != strconv.Itoa(r.Attempt) {
		return ErrWrongRequest
	}
	// The version of the response is checked too, since not every engine checks the
	// requested version.
	if got := resp.Header.Get("X-Weight-Version"); got != r.Version {
		return fmt.Errorf("%w: %q instead of %q", ErrWrongVersion, got, r.Version)
	}
	return nil
}

// Next returns the next event, or io.EOF after the end marker. Other errors wrap
// ErrBroken or ErrStalled; a stream that ends without the marker is broken.
func (s *Stream) Next() (Event, error) {
	var ev Event
	for s.scanner.Scan() {
		line := s.scanner.Bytes()
		switch {
		case bytes.HasPrefix(line, []byte("id: ")):
			ev.Tokens, _ = strconv.Atoi(string(line[len("id: "):]))
		case bytes.Equal(line, []byte("data: [DONE]")):
			return ev, io.EOF
		case bytes.HasPrefix(line, []byte("data: ")):
			ev.Data = bytes.Clone(line[len("data: "):])
			if !json.Valid(ev.Data) {
				return ev, fmt.Errorf("%w: an event is not JSON", ErrBroken)
			}
		case len(line) == 0 && ev.Data != nil:
			s.stallTimer.Reset(stallTimeout)
			return ev, nil
		}
	}
	return ev, fmt.Errorf("%w: %w", streamError(s.ctx), errors.Join(s.scanner.Err(), io.ErrUnexpectedEOF))
}

// Close closes the stream, which cancels the request at the engine if it still runs.
func (s *Stream) Close() {
	s.stallTimer.Stop()
	s.cancel(nil)
	_ = s.body.Close()
}
