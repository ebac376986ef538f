// Package peer carries requests between entry instances over WebSocket, each a
// CBOR message with a sequence number that its answer repeats.
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

// Path is where an entry instance accepts its peers.
const Path = "/peer"

// maxFrameBytes bounds one message, in bytes.
const maxFrameBytes = 16 << 20

// dialTimeout bounds the time to connect to a peer.
const dialTimeout = 500 * time.Millisecond

// ErrNotSent means that the message did not leave this instance.
var ErrNotSent = errors.New("the message was not sent to the peer")

type frame struct {
	_    struct{} `cbor:",toarray"`
	Seq  uint64
	Body []byte
	Err  string
}

// Handler answers one message from a peer.
type Handler func(ctx context.Context, from string, body []byte) ([]byte, error)

// Accept returns the HTTP handler for peers that present the token. With an
// empty token the network must keep others away.
func Accept(token string, h Handler) http.Handler {
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
		serve(r.Context(), conn, r.Header.Get("X-Peer"), h)
	})
}

func serve(ctx context.Context, conn *websocket.Conn, from string, h Handler) {
	defer conn.CloseNow()
	for {
		_, raw, err := conn.Read(ctx)
		if err != nil {
			return
		}
		var f frame
		if err := cbor.Unmarshal(raw, &f); err != nil {
			return
		}
		go respond(ctx, conn, from, f, h)
	}
}

func respond(ctx context.Context, conn *websocket.Conn, from string, f frame, h Handler) {
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

// Peer is the calling side of the connection to one instance. It connects when
// first used and again after a failure. It is safe for concurrent use.
type Peer struct {
	Address netip.AddrPort
	// Self is this instance's name, Token the shared secret of the instances.
	Self, Token string
	// Client opens the connections; nil means http.DefaultClient.
	Client *http.Client

	mu      sync.Mutex
	conn    *connection
	dialing *dialAttempt
}

// dialAttempt is a connection that is being opened.
type dialAttempt struct {
	done chan struct{}
	conn *connection
	err  error
}

type connection struct {
	ws      *websocket.Conn
	mu      sync.Mutex
	seq     uint64
	pending map[uint64]chan frame
	closed  chan struct{}
}

// Call sends a message and waits for its answer until ctx ends.
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

// Close ends the connection.
func (p *Peer) Close() {
	p.mu.Lock()
	c := p.conn
	p.mu.Unlock()
	if c != nil {
		p.disconnect(c)
	}
}

// connect returns the connection, waiting for one to be opened if need be. The
// mutex is never held while dialing, so a caller waits no longer than its ctx.
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

// dial opens one connection for all who wait for it.
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

// deliver hands an answer to its caller; one that came too late is dropped.
func (c *connection) deliver(f frame) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if ch, ok := c.pending[f.Seq]; ok {
		ch <- f
		delete(c.pending, f.Seq)
	}
}
