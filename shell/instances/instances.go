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

// List is the client of the list of instances.
type List struct {
	Address netip.AddrPort
	// Client must be set.
	Client *http.Client
}

// Upstream is an upstream as the platform lists it.
type Upstream struct {
	Name    string `json:"name"`
	Leaving bool   `json:"leaving"`
}

// Answer is the body of the platform's answer.
type Answer struct {
	Instances []roster.Member `json:"instances"`
	// Upstreams lists those that are live or leaving; it may leave some out.
	Upstreams []Upstream `json:"upstreams"`
}

// Read returns what the platform lists.
func (l *List) Read(ctx context.Context) (Answer, error) {
	var ans Answer
	if err := jsoncall.Get(ctx, l.Client, "http://"+l.Address.String()+"/v1/instances", &ans); err != nil {
		return Answer{}, fmt.Errorf("listing instances: %w", err)
	}
	return ans, nil
}
