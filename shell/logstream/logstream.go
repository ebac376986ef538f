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

// Errors of the log service.
var (
	// ErrNotWritten means that nothing was written.
	ErrNotWritten = errors.New("the log service refused the call")
	// ErrOutcomeUnknown means that it is not known whether something was written.
	ErrOutcomeUnknown = errors.New("the log service's answer was lost")
)

// maxResponseBytes bounds one answer, in bytes.
const maxResponseBytes = 64 << 20

// Record is one record of a stream.
type Record struct {
	Offset uint64    `json:"offset"`
	Time   time.Time `json:"time"`
	Data   []byte    `json:"data"`
}

// Page is the answer to a read.
type Page struct {
	// Oldest is the offset of the first record that is still kept.
	Oldest uint64 `json:"oldest"`
	// End is the offset that the next record will get.
	End       uint64        `json:"end"`
	Retention time.Duration `json:"retention"`
	Records   []Record      `json:"records"`
}

// Stream reads and appends one stream. It is safe for concurrent use.
type Stream struct {
	// Address is that of the log service.
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

// Append writes records in one call and returns the offset of the first. The
// error wraps ErrFailed or ErrLost.
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
		return 0, fmt.Errorf("reading the answer to an append: %w: %w", ErrOutcomeUnknown, err)
	}
	return out.Offset, nil
}

// Read returns the records from an offset. With none there it waits up to wait.
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
