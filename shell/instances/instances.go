// Package instances reads the platform's list of entry instances, which lags.
package instances

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"

	"crocusfold.dev/core/roster"
	"crocusfold.dev/shell/jsoncall"
)

// Client is the client of the list of instances.
type Client struct {
	Address netip.AddrPort
	// HTTP must be set.
	HTTP *http.Client
}

// Upstream is an upstream as the platform lists it.
type Upstream struct {
	Name    string `json:"name"`
	Leaving bool   `json:"leaving"`
}

// Response is the body of the platform's answer.
type Response struct {
	Instances []roster.Member `json:"instances"`
	// Upstreams lists those that are live or leaving; it may leave some out.
	Upstreams []Upstream `json:"upstreams"`
}

// List returns what the platform lists.
func (l *Client) List(ctx context.Context) (Response, error) {
	var resp Response
	if err := jsoncall.Get(ctx, l.HTTP, "http://"+l.Address.String()+"/v1/instances", &resp); err != nil {
		return Response{}, fmt.Errorf("listing instances: %w", err)
	}
	return resp, nil
}
