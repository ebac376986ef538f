// Package instances is the client of the platform's list of entry instances. The list lags
// behind the instances that are running.
package instances

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"

	"crocusfold.dev/core/roster"
	"crocusfold.dev/shell/jsoncall"
)

// Client is the client of the platform's list of instances. It is safe for concurrent
// use.
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

// Response is the platform's response to List.
type Response struct {
	Instances []roster.Member `json:"instances"`
	// Upstreams are the live and the leaving upstreams; the list may be incomplete.
	Upstreams []Upstream `json:"upstreams"`
}

// List returns the instances and upstreams that the platform lists.
func (c *Client) List(ctx context.Context) (Response, error) {
	var resp Response
	if err := jsoncall.Get(ctx, c.HTTP, "http://"+c.Address.String()+"/v1/instances", &resp); err != nil {
		return Response{}, fmt.Errorf("listing instances: %w", err)
	}
	return resp, nil
}
