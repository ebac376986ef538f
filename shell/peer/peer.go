// Package peer carries calls between entry instances over WebSocket. Requests and
// responses are CBOR frames; a response repeats the sequence number of its request.
package peer

import (
	"context"
	"crypto/subtle"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
)

// Path is the URL path at which an entry instance accepts connections from its peers.
const Path = "/peer"

// maxFrameBytes bounds one frame.
const maxFrameBytes = 16 << 20

// dialTimeout bounds the time to connect to a peer, including the WebSocket handshake.
const dialTimeout = 500 * time.Millisecond

// ErrNotSent means that the request did not leave this instance.
var ErrNotSent = errors.New("the message was not sent to the peer")

// frame is a request or a response. Err is the text of the handler's error, if any.
type frame struct {
	_    struct{} `cbor:",toarray"`
	Seq  uint64
	Body []byte
	Err  string
}

// Handler handles one request of the peer that calls itself from, and returns the body of
// the response. The text of an error is sent to the peer. Calls may be concurrent.
type Handler func(ctx context.Context, from string, body []byte) ([]byte, error)

// Accept returns the HTTP handler that accepts connections from peers that present the
// token. If the token is empty, it accepts any connection, and the network must restrict
// access. The frames that arrive share the memory of in.
func Accept(token string, in *Inbound, h Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if token != "" && subtle.ConstantTimeCompare([]byte(r.Header.Get("Authorization")), []byte("Bearer "+token)) != 1 {
			http.Error(w, "the peer token is wrong", http.StatusUnauthorized)
			return
		}
		conn, err := websocket.Accept(w, r, nil)
		if err != nil {
			return
		}
		conn.SetReadLimit(maxFrameBytes)
		serve(r.Context(), conn, in, r.Header.Get("X-Peer"), h)
	})
}

// serve reads requests from conn until it fails, and handles each in its own goroutine.
func serve(ctx context.Context, conn *websocket.Conn, in *Inbound, from string, h Handler) {
	defer conn.CloseNow()
	for {
		raw, err := in.read(ctx, conn)
		if err != nil {
			return
		}
		var f frame
		if err := cbor.Unmarshal(raw, &f); err != nil {
			return
		}
		go handle(ctx, conn, from, f, h)
	}
}

func handle(ctx context.Context, conn *websocket.Conn, from string, f frame, h Handler) {
	body, err := h(ctx, from, f.Body)
	out := frame{Seq: f.Seq, Body: body}
	if err != nil {
		out.Err = err.Error()
	}
	raw, err := cbor.Marshal(out)
	if err != nil {
		return
	}
	_ = conn.Write(ctx, websocket.MessageBinary, raw)
}

// Peer is the calling side of the connection to one instance. It connects on the first
// call, and reconnects on the next call after a failure. It is safe for concurrent use.
type Peer struct {
	Address netip.AddrPort
	// Self is this instance's name, Token the secret that the instances share.
	Self, Token string
	// Client opens the connections; nil means http.DefaultClient.
	Client *http.Client

	mu      sync.Mutex
	conn    *connection
	dialing *dialAttempt
}

// dialAttempt is a connection that is being opened. The fields conn and err are valid once
// done is closed.
type dialAttempt struct {
	done chan struct{}
	conn *connection
	err  error
}

// connection is an open connection. The map pending has the calls that wait for a
// response, by the sequence numbers of their requests. The channel closed is closed with
// the connection.
type connection struct {
	ws      *websocket.Conn
	mu      sync.Mutex
	seq     uint64
	pending map[uint64]chan frame
	closed  chan struct{}
}

// Call sends a request and returns the body of the response, for which it waits until ctx
// ends. If the request was not sent, the error wraps ErrNotSent.
func (p *Peer) Call(ctx context.Context, body []byte) ([]byte, error) {
	c, err := p.connect(ctx)
	if err != nil {
		return nil, fmt.Errorf("connecting to %s: %w: %w", p.Address, ErrNotSent, err)
	}
	seq, ch := c.register()
	defer c.unregister(seq)
	raw, err := cbor.Marshal(frame{Seq: seq, Body: body})
	if err != nil {
		return nil, fmt.Errorf("encoding a frame: %w: %w", ErrNotSent, err)
	}
	if err := c.ws.Write(ctx, websocket.MessageBinary, raw); err != nil {
		p.disconnect(c)
		return nil, fmt.Errorf("sending to %s: %w", p.Address, err)
	}
	select {
	case f := <-ch:
		if f.Err != "" {
			return nil, fmt.Errorf("answer of %s: %s", p.Address, f.Err)
		}
		return f.Body, nil
	case <-c.closed:
		return nil, fmt.Errorf("waiting for %s: the connection closed", p.Address)
	case <-ctx.Done():
		return nil, fmt.Errorf("waiting for %s: %w", p.Address, ctx.Err())
	}
}

// Close closes the connection, if one is open. Pending calls fail.
func (p *Peer) Close() {
	p.mu.Lock()
	c := p.conn
	p.mu.Unlock()
	if c != nil {
		p.disconnect(c)
	}
}

// connect returns the open connection, or opens one and waits for it. The mutex is not
// held while dialing, so that a caller waits no longer than its ctx.
func (p *Peer) connect(ctx context.Context) (*connection, error) {
	p.mu.Lock()
	if p.conn != nil {
		defer p.mu.Unlock()
		return p.conn, nil
	}
	if p.dialing == nil {
		p.dialing = &dialAttempt{done: make(chan struct{})}
		go p.dial(p.dialing)
	}
	d := p.dialing
	p.mu.Unlock()
	select {
	case <-d.done:
		return d.conn, d.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// dial opens one connection for all callers that wait for d.
func (p *Peer) dial(d *dialAttempt) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	header := http.Header{"Authorization": {"Bearer " + p.Token}, "X-Peer": {p.Self}}
	ws, resp, err := websocket.Dial(ctx, "ws://"+p.Address.String()+Path, &websocket.DialOptions{HTTPHeader: header, HTTPClient: p.Client})
	if resp != nil && resp.Body != nil {
		_ = resp.Body.Close()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dialing = nil
	if err != nil {
		d.err = fmt.Errorf("opening the WebSocket: %w", err)
	} else {
		ws.SetReadLimit(maxFrameBytes)
		d.conn = &connection{ws: ws, pending: map[uint64]chan frame{}, closed: make(chan struct{})}
		p.conn = d.conn
		go p.receive(d.conn)
	}
	close(d.done)
}

// receive delivers the responses that arrive on c until reading fails, and then closes c.
func (p *Peer) receive(c *connection) {
	defer p.disconnect(c)
	for {
		_, raw, err := c.ws.Read(context.Background())
		if err != nil {
			return
		}
		var f frame
		if err := cbor.Unmarshal(raw, &f); err != nil {
			return
		}
		c.deliver(f)
	}
}

// disconnect closes c, unless that was done before. Calls that wait for a response fail.
func (p *Peer) disconnect(c *connection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn == c {
		p.conn = nil
		close(c.closed)
		_ = c.ws.CloseNow()
	}
}

func (c *connection) register() (uint64, chan frame) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seq++
	ch := make(chan frame, 1)
	c.pending[c.seq] = ch
	return c.seq, ch
}

func (c *connection) unregister(seq uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pending, seq)
}

// deliver passes a response to the call that waits for it. The response is dropped if the
// call has ended.
func (c *connection) deliver(f frame) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if ch, ok := c.pending[f.Seq]; ok {
		ch <- f
		delete(c.pending, f.Seq)
	}
}
