// Package peerrpc carries requests and responses between entry instances.
package peerrpc

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"sync"

	"crocusfold.dev/core/roster"
	"crocusfold.dev/entry/message"
	"crocusfold.dev/shell/peer"
)

// Handler handles a request from the peer named from; ok is false if it does not handle
// messages of this type.
type Handler func(ctx context.Context, from string, msg message.Message) (response message.Message, ok bool, err error)

// Endpoint calls other instances and serves their calls, over one connection for each
// peer. Self must be set. It is safe for concurrent use.
type Endpoint struct {
	Self roster.Member
	// Token is the secret that the instances share. If it is empty, calls of anybody are
	// accepted, and access must be restricted by the network.
	Token string
	// Client opens the connections; nil means http.DefaultClient.
	Client *http.Client
	// Inbound bounds the memory for frames that arrive.
	Inbound peer.Inbound

	mu       sync.Mutex
	peers    map[netip.AddrPort]*peer.Peer
	handlers []Handler
}

// Handle adds a handler. A request goes to each handler, in the order in which they were
// added, until one handles it. All handlers must be added before the first call.
func (e *Endpoint) Handle(h Handler) { e.handlers = append(e.handlers, h) }

// HTTPHandler returns the HTTP handler that serves the calls of peers.
func (e *Endpoint) HTTPHandler() http.Handler { return peer.Accept(e.Token, &e.Inbound, e.handleRaw) }

func (e *Endpoint) handleRaw(ctx context.Context, from string, raw []byte) ([]byte, error) {
	msg, err := message.Codec.Decode(raw)
	if err != nil {
		return nil, fmt.Errorf("reading a message of %s: %w", from, err)
	}
	response, err := e.dispatch(ctx, from, msg)
	if err != nil {
		return nil, err
	}
	return message.Codec.Encode(response)
}

// dispatch passes a request to the first handler that handles it.
func (e *Endpoint) dispatch(ctx context.Context, from string, msg message.Message) (message.Message, error) {
	for _, h := range e.handlers {
		response, ok, err := h(ctx, from, msg)
		if err != nil {
			return nil, fmt.Errorf("answering %T: %w", msg, err)
		}
		if ok {
			return response, nil
		}
	}
	return nil, fmt.Errorf("nothing answers %T", msg)
}

// Call sends a request to a member and returns the response. A request to this instance
// itself is handled without a connection.
func (e *Endpoint) Call(ctx context.Context, to roster.Member, msg message.Message) (message.Message, error) {
	if to.Name == e.Self.Name {
		return e.dispatch(ctx, e.Self.Name, msg)
	}
	raw, err := message.Codec.Encode(msg)
	if err != nil {
		return nil, fmt.Errorf("calling %s: %w", to.Name, err)
	}
	raw, err = e.peer(to.Address).Call(ctx, raw)
	if err != nil {
		return nil, fmt.Errorf("calling %s: %w", to.Name, err)
	}
	response, err := message.Codec.Decode(raw)
	if err != nil {
		return nil, fmt.Errorf("reading the answer of %s: %w", to.Name, err)
	}
	return response, nil
}

func (e *Endpoint) peer(address netip.AddrPort) *peer.Peer {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.peers == nil {
		e.peers = map[netip.AddrPort]*peer.Peer{}
	}
	p, ok := e.peers[address]
	if !ok {
		p = &peer.Peer{Address: address, Self: e.Self.Name, Token: e.Token, Client: e.Client}
		e.peers[address] = p
	}
	return p
}

// Disconnect closes the connection to a peer, for use when the peer is no longer called.
// A later call connects again.
func (e *Endpoint) Disconnect(address netip.AddrPort) {
	e.mu.Lock()
	p, ok := e.peers[address]
	delete(e.peers, address)
	e.mu.Unlock()
	if ok {
		p.Close()
	}
}

// Close closes the connections to all peers.
func (e *Endpoint) Close() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, p := range e.peers {
		p.Close()
	}
}

// Call sends a request to a member and returns the response, which must be of type T.
func Call[T message.Message](ctx context.Context, e *Endpoint, to roster.Member, msg message.Message) (T, error) {
	var none T
	response, err := e.Call(ctx, to, msg)
	if err != nil {
		return none, err
	}
	typed, ok := response.(T)
	if !ok {
		return none, fmt.Errorf("calling %s: the answer is a %T", to.Name, response)
	}
	return typed, nil
}
