package peer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"

	"github.com/coder/websocket"
)

// firstBytes and pieceBytes are the sizes of the first and of the other buffers for a frame.
const (
	firstBytes = 4 << 10
	pieceBytes = 32 << 10
)

// piecePool has the buffers of pieceBytes, which are reused.
var piecePool = sync.Pool{New: func() any { return new([pieceBytes]byte) }}

// errFrameDropped means that a connection was closed in favour of other frames.
var errFrameDropped = errors.New("the frames that arrive take too much memory")

// Inbound bounds the memory for frames that have not arrived completely. Anybody who reaches
// the port can send a large frame and withhold its end. Peers never wait: the largest frame that
// is incomplete is dropped, with its connection. It is safe for concurrent use.
type Inbound struct {
	mu     sync.Mutex
	limit  int
	total  int
	frames map[*inboundFrame]struct{}
}

// SetLimit sets the number of bytes that may be held; 0 is without limit.
func (in *Inbound) SetLimit(limit int) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.limit = limit
}

// inboundFrame is a frame that arrives.
type inboundFrame struct {
	size    int
	dropped bool
	close   func()
}

// grow adds to a frame, and drops the largest frames while all are over the limit. It reports
// whether the frame itself was not dropped.
func (in *Inbound) grow(f *inboundFrame, n int) bool {
	in.mu.Lock()
	var closed []*inboundFrame
	if !f.dropped {
		if in.frames == nil {
			in.frames = map[*inboundFrame]struct{}{}
		}
		in.frames[f] = struct{}{}
		f.size += n
		in.total += n
	}
	for in.limit > 0 && in.total > in.limit {
		var largest *inboundFrame
		for other := range in.frames {
			if largest == nil || other.size > largest.size {
				largest = other
			}
		}
		in.remove(largest)
		largest.dropped = true
		closed = append(closed, largest)
	}
	dropped := f.dropped
	in.mu.Unlock()
	for _, other := range closed {
		other.close()
	}
	return !dropped
}

// remove ends the account of a frame. The caller holds the lock.
func (in *Inbound) remove(f *inboundFrame) {
	if _, ok := in.frames[f]; ok {
		delete(in.frames, f)
		in.total -= f.size
	}
}

// read reads a frame from conn.
func (in *Inbound) read(ctx context.Context, conn *websocket.Conn) ([]byte, error) {
	_, r, err := conn.Reader(ctx)
	if err != nil {
		return nil, fmt.Errorf("waiting for a frame: %w", err)
	}
	f := &inboundFrame{close: func() { _ = conn.CloseNow() }}
	defer func() {
		in.mu.Lock()
		defer in.mu.Unlock()
		in.remove(f)
	}()
	// Most frames fit into the first piece. The others are read into pieces that are reused,
	// since a buffer that doubles leaves as much garbage as there is in frames.
	first := make([]byte, firstBytes)
	if !in.grow(f, firstBytes) {
		return nil, errFrameDropped
	}
	n, err := fill(r, first)
	if err == io.EOF {
		return first[:n], nil
	}
	size := n
	var pieces []*[pieceBytes]byte
	defer func() {
		for _, piece := range pieces {
			piecePool.Put(piece)
		}
	}()
	for err == nil {
		if !in.grow(f, pieceBytes) {
			return nil, errFrameDropped
		}
		piece := piecePool.Get().(*[pieceBytes]byte)
		pieces = append(pieces, piece)
		n, err = fill(r, piece[:])
		size += n
	}
	if err != io.EOF {
		return nil, fmt.Errorf("reading a frame: %w", err)
	}
	if !in.grow(f, size) {
		return nil, errFrameDropped
	}
	whole := append(make([]byte, 0, size), first...)
	for _, piece := range pieces {
		whole = append(whole, piece[:min(pieceBytes, size-len(whole))]...)
	}
	return whole, nil
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
