package network

import (
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"
)

// TestUnacknowledgedShowsProgress guards against cutting a slow reader: while its connection takes
// no more bytes, reading must show in what is not acknowledged.
func TestUnacknowledgedShowsProgress(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	reader, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer reader.Close()
	writer, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer writer.Close()
	block := make([]byte, 1<<20)
	for err == nil {
		_ = writer.SetWriteDeadline(time.Now().Add(100 * time.Millisecond))
		_, err = writer.Write(block)
	}
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatal(err)
	}
	before := Unacknowledged(writer)
	if before == 0 {
		t.Fatal("nothing is unacknowledged although the reader reads nothing")
	}
	if _, err := io.ReadFull(reader, block); err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(time.Minute); Unacknowledged(writer) >= before; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d bytes are unacknowledged, before the reader read 1 MiB %d", Unacknowledged(writer), before)
		}
	}
}
