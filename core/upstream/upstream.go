// Package upstream describes a back end: a model engine or a plain service.
package upstream

import (
	"errors"
	"fmt"
	"net/netip"
)

// Upstream is one back end as configured in the operators' intent.
type Upstream struct {
	Name       string         `json:"name" required:"true"`
	Address    netip.AddrPort `json:"address" required:"true"`
	DataCentre string         `json:"data-centre" required:"true"`
	// Role selects the workloads that the upstream runs: those with the same role.
	Role string `json:"role" required:"true"`
	// Service is true for a plain service, false for a model engine.
	Service bool `json:"service,omitempty"`
	// WarmLimit is the number of concurrent requests when warm; 0 means
	// DefaultWarmLimit.
	WarmLimit int `json:"warm-limit,omitempty"`
	// ColdLimit is the number of concurrent requests right after a start; 0 means
	// DefaultColdLimit, or the warm limit if that is lower.
	ColdLimit int `json:"cold-limit,omitempty"`
	// Fencing is true if the engine refuses commands with an outdated fencing token.
	Fencing bool `json:"fencing,omitempty"`
}

// Limits on concurrent requests that apply where the intent sets none.
const (
	DefaultWarmLimit = 16
	DefaultColdLimit = 2
)

// Limits returns the limits on concurrent requests when cold and when warm.
func (u Upstream) Limits() (cold, warm int) {
	cold, warm = u.ColdLimit, u.WarmLimit
	if warm == 0 {
		warm = DefaultWarmLimit
	}
	if cold == 0 {
		cold = min(DefaultColdLimit, warm)
	}
	return cold, warm
}

// Check returns an error for the first invalid field.
func (u Upstream) Check() error {
	switch {
	case u.Name == "" || u.Role == "" || u.DataCentre == "":
		return errors.New("upstream: name, role and data-centre must be given")
	case !u.Address.IsValid() || u.Address.Port() == 0:
		return fmt.Errorf("upstream %s: address must be IP:port", u.Name)
	case u.WarmLimit < 0 || u.ColdLimit < 0:
		return fmt.Errorf("upstream %s: limits must not be negative", u.Name)
	}
	return nil
}
