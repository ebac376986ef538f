// Package peerrpc calls the other entry instances and answers their calls.
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

// Handler answers a message; ok is false if the message is not its concern.
type Handler func(ctx context.Context, from string, msg message.Message) (answer message.Message, ok bool, err error)

// Endpoint holds the connections to peers. Self and Token must be set. It is safe
// for concurrent use.
type Endpoint struct {
	Self  roster.Member
	Token string
	// Client opens the connections; nil means http.DefaultClient.
	Client *http.Client

	mu       sync.Mutex
	peers    map[netip.AddrPort]*peer.Peer
	handlers []Handler
}

// Handle adds a handler. All handlers must be added before the first call.
func (m *Endpoint) Handle(h Handler) { m.handlers = append(m.handlers, h) }

// HTTPHandler returns the HTTP handler for calls of peers.
func (m *Endpoint) HTTPHandler() http.Handler { return peer.Accept(m.Token, m.handleRaw) }

func (m *Endpoint) handleRaw(ctx context.Context, from string, raw []byte) ([]byte, error) {
	msg, err := message.Codec.Decode(raw)
	if err != nil {
		return nil, fmt.Errorf("reading a message of %s: %w", from, err)
	}
	response, err := m.response(ctx, from, msg)
	if err != nil {
		return nil, err
	}
	return message.Codec.Encode(response)
}

func (m *Endpoint) response(ctx context.Context, from string, msg message.Message) (message.Message, error) {
	for _, h := range m.handlers {
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

// Call sends a message to a member, which may be this instance.
func (m *Endpoint) Call(ctx context.Context, to roster.Member, msg message.Message) (message.Message, error) {
	if to.Name == m.Self.Name {
		return m.response(ctx, m.Self.Name, msg)
	}
	raw, err := message.Codec.Encode(msg)
	if err != nil {
		return nil, fmt.Errorf("calling %s: %w", to.Name, err)
	}
	raw, err = m.peer(to.Address).Call(ctx, raw)
	if err != nil {
		return nil, fmt.Errorf("calling %s: %w", to.Name, err)
	}
	response, err := message.Codec.Decode(raw)
	if err != nil {
		return nil, fmt.Errorf("reading the answer of %s: %w", to.Name, err)
	}
	return response, nil
}

func (m *Endpoint) peer(address netip.AddrPort) *peer.Peer {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.peers == nil {
		m.peers = map[netip.AddrPort]*peer.Peer{}
	}
	p, ok := m.peers[address]
	if !ok {
		p = &peer.Peer{Address: address, Self: m.Self.Name, Token: m.Token, Client: m.Client}
		m.peers[address] = p
	}
	return p
}

// Disconnect ends the connection to a peer that is not called any more.
func (m *Endpoint) Disconnect(address netip.AddrPort) {
	m.mu.Lock()
	p, ok := m.peers[address]
	delete(m.peers, address)
	m.mu.Unlock()
	if ok {
		p.Close()
	}
}

// Close ends all connections to peers.
func (m *Endpoint) Close() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range m.peers {
		p.Close()
	}
}

// Call calls a member and expects an answer of type T.
func Call[T message.Message](ctx context.Context, m *Endpoint, to roster.Member, msg message.Message) (T, error) {
	var none T
	response, err := m.Call(ctx, to, msg)
	if err != nil {
		return none, err
	}
	typed, ok := response.(T)
	if !ok {
		return none, fmt.Errorf("calling %s: the answer is a %T", to.Name, response)
	}
	return typed, nil
}
