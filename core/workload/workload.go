// Package workload defines the configuration of a workload: the model or service
// that callers request, the upstreams that run it, and the accounts that may use
// it. Its key in the configuration is "work".
package workload

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"
)

// Workload maps requests to the upstreams that may run them. A workload with a Model
// serves chat completions; one with a Path routes requests to plain services.
type Workload struct {
	Name string `json:"name" required:"true"`
	// Model is the model name in callers' requests; empty for a plain service.
	Model string `json:"model,omitempty"`
	// Adapter is loaded on top of the model; empty means none.
	Adapter string `json:"adapter,omitempty"`
	// Version is the weight version that new requests must run on. It is required
	// with Model.
	Version string `json:"version,omitempty"`
	// OldVersions are weight versions that may still serve requests while replicas
	// load Version.
	OldVersions []string `json:"old-versions,omitempty"`
	// Path is the URL path prefix of a plain service, such as /orders.
	Path string `json:"path,omitempty"`
	// Role selects the upstreams that have the same role.
	Role string `json:"role" required:"true"`
	// NonIdempotent makes requests with an unsafe method (any but GET, HEAD and
	// OPTIONS) run at most once.
	NonIdempotent bool `json:"once,omitempty"`
	// RequireKeyTime rejects an order whose idempotency key carries no time, neither
	// as a UUIDv7 nor in the Idempotency-Key-Time header.
	RequireKeyTime bool `json:"require-key-time,omitempty"`
	// Accounts names the accounts that may use the workload; empty means all.
	Accounts []string `json:"accounts,omitempty"`
	// DataCentres names the data centres that may run the workload; empty means all.
	DataCentres []string `json:"data-centres,omitempty"`
	// Timeout applies to requests whose caller sets none; 0 means DefaultTimeout.
	Timeout time.Duration `json:"timeout,omitempty"`
}

// DefaultTimeout applies when neither the caller nor the workload sets a timeout.
const DefaultTimeout = 60 * time.Second

// Check returns an error for the first field that is missing or invalid, or nil.
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

// AllowsAccount reports whether an account may use the workload.
func (w Workload) AllowsAccount(account string) bool {
	return len(w.Accounts) == 0 || slices.Contains(w.Accounts, account)
}

// AllowsDataCentre reports whether the workload may run in a data centre.
func (w Workload) AllowsDataCentre(dataCentre string) bool {
	return len(w.DataCentres) == 0 || slices.Contains(w.DataCentres, dataCentre)
}

// Versions returns the weight versions that may serve requests, Version first.
func (w Workload) Versions() []string { return append([]string{w.Version}, w.OldVersions...) }

// TimeoutOrDefault returns the timeout of requests whose caller sets none.
func (w Workload) TimeoutOrDefault() time.Duration {
	if w.Timeout > 0 {
		return w.Timeout
	}
	return DefaultTimeout
}
