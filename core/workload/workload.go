// Package workload describes one kind of work: what is served, where and for whom.
package workload

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"
)

// Workload maps requests to the upstreams that may run them. A work with a Model
// answers chat completions; a work with a Path routes to plain services.
type Workload struct {
	Name string `json:"name" required:"true"`
	// Model is the name that callers ask for; empty for a plain service.
	Model string `json:"model,omitempty"`
	// Adapter is loaded on top of the model; empty means none.
	Adapter string `json:"adapter,omitempty"`
	// Version is the weight version that new requests must run on.
	Version string `json:"version,omitempty"`
	// OldVersions may still serve while replicas load the new one.
	OldVersions []string `json:"old-versions,omitempty"`
	// Path is the URL path prefix of a plain service, such as /orders.
	Path string `json:"path,omitempty"`
	// Role selects the upstreams: those with the same role.
	Role string `json:"role" required:"true"`
	// NonIdempotent marks calls that change something as non-idempotent: they run at most once.
	NonIdempotent bool `json:"once,omitempty"`
	// RequireKeyTime refuses an order whose key carries no time.
	RequireKeyTime bool `json:"require-key-time,omitempty"`
	// Accounts lists who may use the work; empty means every account.
	Accounts []string `json:"accounts,omitempty"`
	// DataCentres limits where the work runs; empty means everywhere.
	DataCentres []string `json:"data-centres,omitempty"`
	// Timeout is the time a request has when its caller states none.
	Timeout time.Duration `json:"timeout,omitempty"`
}

// DefaultTimeout applies where neither the caller nor the work states one.
const DefaultTimeout = 60 * time.Second

// Check reports the first field that is not usable.
func (w Workload) Check() error {
	if w.Name == "" || w.Role == "" {
		return errors.New("work: name and role must be given")
	}
	if (w.Model == "") == (w.Path == "") {
		return fmt.Errorf("work %s: exactly one of model and path must be given", w.Name)
	}
	if w.Model != "" && w.Version == "" {
		return fmt.Errorf("work %s: a model needs a version", w.Name)
	}
	if w.Path != "" && (!strings.HasPrefix(w.Path, "/") || strings.HasPrefix(w.Path, "/v1/")) {
		return fmt.Errorf("work %s: path must begin with / and lie outside /v1/", w.Name)
	}
	if w.Timeout < 0 {
		return fmt.Errorf("work %s: timeout must not be negative", w.Name)
	}
	return nil
}

// AllowsAccount reports whether an account may use the work.
func (w Workload) AllowsAccount(account string) bool {
	return len(w.Accounts) == 0 || slices.Contains(w.Accounts, account)
}

// AllowsDataCentre reports whether the work may run in a data centre.
func (w Workload) AllowsDataCentre(dataCentre string) bool {
	return len(w.DataCentres) == 0 || slices.Contains(w.DataCentres, dataCentre)
}

// Versions returns the weight versions that may serve, the wanted one first.
func (w Workload) Versions() []string { return append([]string{w.Version}, w.OldVersions...) }

// TimeoutOrDefault returns the time a request has when its caller states none.
func (w Workload) TimeoutOrDefault() time.Duration {
	if w.Timeout > 0 {
		return w.Timeout
	}
	return DefaultTimeout
}
