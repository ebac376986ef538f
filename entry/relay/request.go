package relay

import (
	"context"
	"net/http"
	"net/url"
	"strings"

	"crocusfold.dev/entry/adapter"
	"crocusfold.dev/entry/replicas"
)

// hopByHopHeaders apply to one connection only and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// removeHopByHopHeaders also removes the headers that the Connection header names.
func removeHopByHopHeaders(h http.Header) {
	for _, list := range h["Connection"] {
		for _, name := range strings.Split(list, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		h.Del(name)
	}
}

// request returns the request to send to a replica.
func (c *call) request(ctx context.Context, pl *replicas.Placement) *http.Request {
	h := c.r.Header.Clone()
	removeHopByHopHeaders(h)
	if _, ok := h["User-Agent"]; !ok {
		h["User-Agent"] = nil
	}
	c.summary.timeLeft = c.deadline.Sub(c.relay.Now())
	c.relay.Dialect.RewriteHeaders(h, adapter.ForwardInfo{
		Replica: pl.ID, TimeLeft: c.summary.timeLeft, Account: c.account.Name,
		Salt: pl.Salt, Version: pl.Version, Priority: c.priority(),
		Fetch: pl.Fetch, Save: pl.Save, FetchUntil: pl.FetchUntil,
	})
	path, query, _ := strings.Cut(c.r.RequestURI, "?")
	out := &http.Request{
		Method: c.r.Method, Host: c.r.Host, Header: h, ContentLength: int64(c.body.Size),
		URL:   &url.URL{Scheme: "http", Host: pl.Address.String(), Opaque: path, RawQuery: query},
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}
	out.Body = http.NoBody
	if c.body.Size > 0 || retriedByTransport(c.r) {
		// net/http sends a request again by itself if its body is http.NoBody or has
		// GetBody. This body prevents that, since the request could run twice.
		out.Body = c.body.Reader()
	}
	return out.WithContext(ctx)
}

// retriedByTransport reports whether net/http considers a request without a body as
// replayable, so that it may send it again by itself.
func retriedByTransport(r *http.Request) bool {
	switch r.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return true
	}
	// net/http checks that the header is there, not that it has a value.
	return r.Header["Idempotency-Key"] != nil || r.Header["X-Idempotency-Key"] != nil
}
