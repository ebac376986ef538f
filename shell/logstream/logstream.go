// Package logstream is the client of the platform's append-only log service.
package logstream

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"time"

	"crocusfold.dev/shell/jsoncall"
)

// Errors of Append.
var (
	// ErrNotWritten means that no record was written.
	ErrNotWritten = errors.New("no record was written")
	// ErrOutcomeUnknown means that it is not known whether the records were written.
	ErrOutcomeUnknown = errors.New("it is not known whether the records were written")
)

// maxResponseBytes bounds the body of one response.
const maxResponseBytes = 64 << 20

// Record is one record of a stream.
type Record struct {
	Offset uint64    `json:"offset"`
	Time   time.Time `json:"time"`
	Data   []byte    `json:"data"`
}

// Page is the response to a read.
type Page struct {
	// Oldest is the offset of the oldest record that the log retains.
	Oldest uint64 `json:"oldest"`
	// End is the offset of the next record to be appended.
	End       uint64        `json:"end"`
	Retention time.Duration `json:"retention"`
	Records   []Record      `json:"records"`
}

// Stream is the client of one stream of the log. It is safe for concurrent use.
type Stream struct {
	// Address is the address of the log service.
	Address netip.AddrPort
	Name    string
	// Client must be set.
	Client *http.Client
}

type appendRequest struct {
	Records [][]byte `json:"records"`
}

type appendResponse struct {
	Offset uint64 `json:"offset"`
}

// Append appends records in one call and returns the offset of the first. An error wraps
// ErrNotWritten if the call was not made or was rejected with status 429 or 503, and
// ErrOutcomeUnknown otherwise.
func (s *Stream) Append(ctx context.Context, records ...[]byte) (uint64, error) {
	body, err := json.Marshal(appendRequest{records})
	if err != nil {
		return 0, fmt.Errorf("encoding an append: %w: %w", ErrNotWritten, err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, s.url(), bytes.NewReader(body))
	if err != nil {
		return 0, fmt.Errorf("preparing an append: %w: %w", ErrNotWritten, err)
	}
	resp, err := s.Client.Do(req)
	if err != nil {
		return 0, fmt.Errorf("appending to %s: %w: %w", s.Name, ErrOutcomeUnknown, err)
	}
	defer resp.Body.Close()
	switch {
	case resp.StatusCode == http.StatusOK:
	case resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusTooManyRequests:
		return 0, fmt.Errorf("appending to %s: %w: status %d", s.Name, ErrNotWritten, resp.StatusCode)
	default:
		return 0, fmt.Errorf("appending to %s: %w: status %d", s.Name, ErrOutcomeUnknown, resp.StatusCode)
	}
	var out appendResponse
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxResponseBytes)).Decode(&out); err != nil {
		return 0, fmt.Errorf("reading the response to an append: %w: %w", ErrOutcomeUnknown, err)
	}
	return out.Offset, nil
}

// Read returns the records from an offset on. If there are none yet, the log service waits
// up to wait for the next.
func (s *Stream) Read(ctx context.Context, from uint64, wait time.Duration) (Page, error) {
	q := url.Values{"from": {strconv.FormatUint(from, 10)}, "wait": {wait.String()}}
	var page Page
	if err := jsoncall.Get(ctx, s.Client, s.url()+"?"+q.Encode(), &page); err != nil {
		return Page{}, fmt.Errorf("reading %s: %w", s.Name, err)
	}
	return page, nil
}

func (s *Stream) url() string {
	return "http://" + s.Address.String() + "/v1/streams/" + s.Name + "/records"
}
