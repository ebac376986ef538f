package callerconns

import (
	"bufio"
	"bytes"
	"net/http"
	"strings"
	"testing"
)

// FuzzHead guards against a head that net/http accepts while the scanner has not seen its end or
// all of its lines: such lines would take memory that is not counted. Pieces must not matter.
func FuzzHead(f *testing.F) {
	f.Add([]byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n"), 3)
	f.Add([]byte("POST /a HTTP/1.1\nHost: x\nA:\nA:1\nb: 2\n\nbody"), 1)
	f.Add([]byte("GET / HTTP/1.1\r\nHost: x\r\nFold: a\r\n b\r\n\tc\r\n\r\n"), 17)
	f.Add([]byte("GET / HTTP/1.1\r\nHost: x\r\nA: \r\r\n\r\nGET / HTTP/1.1\r\n\r\n"), 40)
	f.Add([]byte("GET / HTTP/1.0\r\n"+strings.Repeat("a:\r\n", 400)+"\r\n"), 1000)
	f.Add([]byte("\r\n\r\nGET / HTTP/1.1\r\n\r\n"), 2)
	f.Fuzz(func(t *testing.T, raw []byte, size int) {
		var whole, pieces headScanner
		whole.scan(raw)
		for rest := raw; len(rest) > 0; {
			n := min(max(1, size), len(rest))
			pieces.scan(rest[:n])
			rest = rest[n:]
		}
		if whole != pieces {
			t.Errorf("in pieces: got %+v, want %+v", pieces, whole)
		}
		r, err := http.ReadRequest(bufio.NewReaderSize(bytes.NewReader(raw), readBuffer))
		if err != nil {
			return
		}
		lines := 0
		for _, values := range r.Header {
			lines += len(values)
		}
		if !whole.ended || whole.lines < lines {
			t.Errorf("the scanner saw %+v of %d lines", whole, lines)
		}
	})
}

// BenchmarkHead measures the memory that the head of a request takes: 4,096 lines of 4 bytes, and
// 1,500 different ones. LineCost in core/memorybudget is from it.
func BenchmarkHead(b *testing.B) {
	for name, header := range map[string]string{"repeated": repeatedLines(16 << 10), "different": differentLines(1500)} {
		b.Run(name, func(b *testing.B) {
			raw := []byte("GET / HTTP/1.1\r\nHost: x\r\n" + header + "\r\n")
			b.ReportAllocs()
			for b.Loop() {
				r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(raw)))
				if err != nil {
					b.Fatal(err)
				}
				_ = r.Header.Clone()
			}
		})
	}
}

// BenchmarkScan measures the scanner on a head of 20 lines and 1 KB.
func BenchmarkScan(b *testing.B) {
	raw := []byte("GET /route/path HTTP/1.1\r\n" + strings.Repeat("Header-Name: a value of some length, 51 bytes\r\n", 20) + "\r\n")
	for b.Loop() {
		var s headScanner
		s.scan(raw)
	}
}
