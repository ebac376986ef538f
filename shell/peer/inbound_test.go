package peer

import (
	"bytes"
	"context"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
)

// TestLargestIncompleteFrameIsDropped guards against frames whose ends are withheld and that fill
// the memory, and against dropping the small frames of peers for them.
func TestLargestIncompleteFrameIsDropped(t *testing.T) {
	var in Inbound
	in.SetLimit(10_000)
	closed := map[string]bool{}
	frame := func(name string) *inboundFrame { return &inboundFrame{close: func() { closed[name] = true }} }
	small, large, larger := frame("small"), frame("large"), frame("larger")
	for _, step := range []struct {
		frame *inboundFrame
		grow  int
		kept  bool
	}{{small, 1000, true}, {large, 4000, true}, {larger, 4500, true}, {small, 1000, true}, {larger, 500, false}, {large, 4000, true}} {
		if got := in.grow(step.frame, step.grow); got != step.kept {
			t.Errorf("growing by %d: kept %v, want %v", step.grow, got, step.kept)
		}
	}
	if closed["small"] || closed["large"] || !closed["larger"] {
		t.Errorf("closed %v, want the larger one", closed)
	}
	if in.total != 10_000 {
		t.Errorf("%d bytes are held, want 10000", in.total)
	}
}

// TestFramesOfAllSizes checks that frames arrive unchanged, whatever number of buffers they take.
func TestFramesOfAllSizes(t *testing.T) {
	var in Inbound
	in.SetLimit(8 << 20)
	server := httptest.NewServer(Accept("t", &in, func(_ context.Context, _ string, body []byte) ([]byte, error) { return body, nil }))
	defer server.Close()
	p := &Peer{Address: netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://")), Token: "t"}
	defer p.Close()
	for _, size := range []int{0, 1, firstBytes - 20, firstBytes, firstBytes + pieceBytes, firstBytes + pieceBytes + 1, 1 << 20} {
		body := bytes.Repeat([]byte("0123456789"), size/10+1)[:size]
		got, err := p.Call(t.Context(), body)
		if err != nil || !bytes.Equal(got, body) {
			t.Errorf("%d bytes: got %d, %v", size, len(got), err)
		}
	}
	if in.total != 0 || len(in.frames) != 0 {
		t.Errorf("%d bytes of %d frames are left", in.total, len(in.frames))
	}
}
