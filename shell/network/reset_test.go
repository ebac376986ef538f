package network

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// resettingServer answers each request at once with a part of a body that ends with its
// connection, reads nothing, and resets the connection after a pause.
func resettingServer(t *testing.T, pause time.Duration) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = conn.Read(make([]byte, 1))
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\npart")
				time.Sleep(pause)
				_ = conn.(*net.TCPConn).SetLinger(0)
				_ = conn.Close()
			}()
		}
	}()
	return ln.Addr().String()
}

// TestResetDuringUpload guards against a part of a body that looks whole: the error of a reset is
// given to the write of the request that is under way, and the next read sees a proper end.
func TestResetDuringUpload(t *testing.T) {
	is := is.New(t)
	const requests = 40
	for _, pause := range []time.Duration{5 * time.Millisecond, 50 * time.Millisecond} {
		client := &http.Client{Transport: Network{}.Transport()}
		address := resettingServer(t, pause)
		var wg sync.WaitGroup
		var mu sync.Mutex
		complete := 0
		for range requests {
			wg.Go(func() {
				resp, err := client.Post("http://"+address, "text/plain", bytes.NewReader(make([]byte, 4_000_000)))
				if err != nil {
					return
				}
				defer resp.Body.Close()
				if _, err := io.ReadAll(resp.Body); err == nil {
					mu.Lock()
					complete++
					mu.Unlock()
				}
			})
		}
		wg.Wait()
		t.Logf("%d of %d bodies look complete after %s", complete, requests, pause)
		is.Equal(complete, 0)
	}
}

// endedConn is a connection that the other side has ended. Its writes block until fail is closed.
type endedConn struct {
	net.Conn
	writing, fail chan struct{}
}

func (c *endedConn) Read([]byte) (int, error) { return 0, io.EOF }

func (c *endedConn) Write([]byte) (int, error) {
	close(c.writing)
	<-c.fail
	return 0, errors.New("reset")
}

// TestEndDuringWrite checks when the end of a connection counts as proper: not while a write is
// under way, and not after one has failed.
func TestEndDuringWrite(t *testing.T) {
	is := is.New(t)
	ended := &endedConn{writing: make(chan struct{}), fail: make(chan struct{})}
	c := &conn{Conn: ended}
	_, err := c.Read(nil)
	is.Equal(err, io.EOF)
	failed := make(chan struct{})
	go func() {
		defer close(failed)
		_, _ = c.Write(nil)
	}()
	<-ended.writing
	_, err = c.Read(nil)
	is.Equal(err, io.ErrUnexpectedEOF)
	close(ended.fail)
	<-failed
	_, err = c.Read(nil)
	is.Equal(err, io.ErrUnexpectedEOF)
}
