package callerconns

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"crocusfold.dev/core/memorybudget"
)

// The buffers for a body grow from firstSegment to maxSegment, so that a body holds little more
// than what has arrived of it.
const (
	firstSegment = 4 << 10
	maxSegment   = 64 << 10
)

// ErrBodyTooLarge means that a body is over the limit. The rest of it was not read.
var ErrBodyTooLarge = errors.New("the body is too large")

// Body is the body of a request, in the pieces in which it was read.
type Body struct {
	Segments [][]byte
	Size     int
}

// Reader returns a reader of the whole body.
func (b *Body) Reader() io.ReadCloser {
	if len(b.Segments) == 1 {
		// net/http knows this type and sends the body with the header in one write.
		return io.NopCloser(bytes.NewReader(b.Segments[0]))
	}
	return &bodyReader{segments: b.Segments}
}

// Bytes returns the body as one slice.
func (b *Body) Bytes() []byte {
	if len(b.Segments) == 1 {
		return b.Segments[0]
	}
	whole := make([]byte, 0, b.Size)
	for _, segment := range b.Segments {
		whole = append(whole, segment...)
	}
	return whole
}

// bodyReader reads the segments of a body.
type bodyReader struct {
	segments [][]byte
	read     int
}

// Read reads from the first segment that is left.
func (r *bodyReader) Read(p []byte) (int, error) {
	for len(r.segments) > 0 && r.read == len(r.segments[0]) {
		r.segments, r.read = r.segments[1:], 0
	}
	if len(r.segments) == 0 {
		return 0, io.EOF
	}
	n := copy(p, r.segments[0][r.read:])
	r.read += n
	return n, nil
}

// Close does nothing.
func (r *bodyReader) Close() error { return nil }

// ReadBody reads the body of a request as far as there is memory for it, and calls extend with
// each time for which it waited for memory. It returns ErrBodyTooLarge, ErrNoMemory or the error
// of the connection; what was read is released then.
func ReadBody(r *http.Request, limit int, extend func(waited time.Duration)) (Body, error) {
	if r.ContentLength == 0 || r.Body == nil {
		return Body{}, nil
	}
	if r.ContentLength > int64(limit) {
		return Body{}, ErrBodyTooLarge
	}
	account := AccountOf(r.Context())
	account.SetPhase(memorybudget.Receiving)
	defer account.SetPhase(memorybudget.Serving)
	body, err := readSegments(r, limit, account, extend)
	if err != nil {
		account.Release(memorybudget.Body)
		return Body{}, err
	}
	return body, nil
}

func readSegments(r *http.Request, limit int, account *Account, extend func(time.Duration)) (Body, error) {
	var body Body
	for {
		size := min(max(firstSegment, body.Size), maxSegment)
		if r.ContentLength > 0 {
			size = min(size, int(r.ContentLength)-body.Size)
		}
		waited, err := account.Reserve(r.Context().Done(), memorybudget.Body, int64(size))
		if err != nil {
			return Body{}, err
		}
		if waited > 0 {
			extend(waited)
		}
		segment := make([]byte, size)
		n, err := fill(r.Body, segment)
		body.Segments, body.Size = append(body.Segments, segment[:n]), body.Size+n
		switch {
		case body.Size > limit:
			return Body{}, ErrBodyTooLarge
		case err == io.EOF || err == nil && int64(body.Size) == r.ContentLength:
			return body, nil
		case err != nil:
			return Body{}, fmt.Errorf("reading the body: %w", err)
		}
	}
}

// fill reads until b is full or an error occurs, which may be io.EOF.
func fill(r io.Reader, b []byte) (int, error) {
	n := 0
	for n < len(b) {
		m, err := r.Read(b[n:])
		n += m
		if err != nil {
			return n, err
		}
	}
	return n, nil
}

// StopReading has the connection of a request closed after the response without reading the rest
// of the body.
func StopReading(w http.ResponseWriter) {
	_ = http.NewResponseController(w).SetReadDeadline(time.Unix(1, 0))
	// Reading past the limit of a MaxBytesReader has net/http close the connection after the
	// response, with time for the caller to read that.
	_, _ = http.MaxBytesReader(w, io.NopCloser(neverEnding{}), 0).Read(make([]byte, 1))
}

// neverEnding is a body of any length.
type neverEnding struct{}

// Read fills p with zeroes.
func (neverEnding) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}
