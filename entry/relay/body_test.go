package relay

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"crocusfold.dev/core/route"
)

// FuzzChunkedBody guards against a chunked body that is read otherwise than it was sent, that is
// taken for whole although it broke off, that exceeds the limit, or whose buffers grow far beyond
// what has arrived.
func FuzzChunkedBody(f *testing.F) {
	f.Add([]byte("4\r\nbody\r\n0\r\n\r\n"))
	f.Add([]byte("4;extension=\"a\"\r\nbody\r\n0\r\nTrailer: x\r\n\r\n"))
	f.Add([]byte("4\r\nbody\r\n"))
	f.Add([]byte("1000000\r\nb"))
	f.Add([]byte("-1\r\n\r\n0\r\n\r\n"))
	f.Add([]byte(strings.Repeat("1\r\nb\r\n", 6000) + "0\r\n\r\n"))
	f.Add([]byte("3000\r\n" + strings.Repeat("b", 0x3000) + "\r\n0\r\n\r\n"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		const limit = 10 << 10
		request := func() *http.Request {
			text := append([]byte("POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"), raw...)
			r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(text)))
			if err != nil {
				t.Fatal(err)
			}
			return r
		}
		want, wantErr := io.ReadAll(request().Body)
		c := &call{r: request(), w: httptest.NewRecorder()}
		ref := c.readBody(&route.Table{Limits: route.Limits{BodyBytes: limit}})
		got, _ := io.ReadAll(c.body.Reader())
		capacity := 0
		for _, segment := range c.body.Segments {
			capacity += cap(segment)
		}
		switch {
		case capacity > 2*len(got)+4<<10:
			t.Errorf("%d bytes have buffers of %d", len(got), capacity)
		case ref == nil && (wantErr != nil || len(want) > limit || !bytes.Equal(got, want)):
			t.Errorf("accepted %d bytes of %d, %v", len(got), len(want), wantErr)
		case ref != nil && wantErr == nil && len(want) <= limit:
			t.Errorf("refused %d bytes: %s", len(want), ref.code)
		case ref != nil && wantErr == nil && ref.status != http.StatusRequestEntityTooLarge:
			t.Errorf("a body over the limit is refused with %d", ref.status)
		}
	})
}

// TestBodyFarOverTheLimit checks that an announced or chunked body over the limit gets a 413 at
// once, that no more than the limit is read of it, and that the connection is closed.
func TestBodyFarOverTheLimit(t *testing.T) {
	for name, body := range map[string]struct {
		length int64
		reads  int
	}{"announced": {1 << 30, 0}, "chunked": {-1, 96 << 10}} {
		t.Run(name, func(t *testing.T) {
			source := &endless{}
			r := httptest.NewRequest(http.MethodPost, "/", source)
			r.ContentLength = body.length
			w := httptest.NewRecorder()
			c := &call{r: r, w: w}
			ref := c.readBody(&route.Table{Limits: route.Limits{BodyBytes: 32 << 10}})
			if ref == nil || ref.status != http.StatusRequestEntityTooLarge {
				t.Fatalf("got %+v, want a 413", ref)
			}
			if source.read > body.reads {
				t.Errorf("%d bytes were read, want at most %d", source.read, body.reads)
			}
		})
	}
}

// endless is a body without end.
type endless struct{ read int }

func (e *endless) Read(p []byte) (int, error) {
	e.read += len(p)
	return len(p), nil
}
