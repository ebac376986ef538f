// Package route holds the operators' configuration, indexed for look-ups on the
// request path: routes by host and path, services by name, and accounts by API key.
package route

import (
	"net/netip"
	"sort"
	"strings"
	"time"
)

// Kind is the kind of a route's requests, which decides whether they may run more
// than once.
type Kind int

// The kinds of routes.
const (
	// NonIdempotent requests run at most once.
	NonIdempotent Kind = iota
	// Idempotent requests may run again after any failure.
	Idempotent
	// Streaming requests have an event stream as response. They run at most once,
	// unless the route is resumable.
	Streaming
)

// WeightedService is one of the services that a route's requests are split among.
type WeightedService struct {
	Service string
	Weight  float64
}

// Route is a rule for the requests to a host with a path prefix.
type Route struct {
	Name, Host, Prefix string
	Kind               Kind
	// Services has one service, or several with the weights by which requests are
	// split among them.
	Services []WeightedService
	// Timeout bounds the deadline of a request; 0 means that the route has no bound.
	Timeout time.Duration
	// TargetLatency is the latency objective of a response; 0 means none.
	TargetLatency time.Duration
	// MaxGap is the objective for the longest pause between events of a stream.
	MaxGap time.Duration
	// Priority is the priority of the requests; 0 is the most urgent.
	Priority int
	// MaxAttempts is the number of upstreams that a retryable request may run on.
	MaxAttempts int
	// Public routes do not require an API key.
	Public bool
	// Resumable streams may continue at another upstream.
	Resumable bool
	// CarriesPrompts is true if the requests carry prompts for model engines.
	CarriesPrompts bool
}

// Retryable reports whether a request may run more than once, as idempotent and
// resumable streaming requests may.
func (r *Route) Retryable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// Uses reports whether requests of the route may go to a service.
func (r *Route) Uses(service string) bool {
	for _, s := range r.Services {
		if s.Service == service {
			return true
		}
	}
	return false
}

// Pick returns the service for a request by its hash, in proportion to the weights, or
// an empty string if the route has no services.
func (r *Route) Pick(hash uint64) string {
	total := 0.0
	for _, s := range r.Services {
		total += s.Weight
	}
	const steps = 1 << 20
	at := float64(hash%steps) / steps * total
	for _, s := range r.Services {
		if at < s.Weight {
			return s.Service
		}
		at -= s.Weight
	}
	if len(r.Services) == 0 {
		return ""
	}
	return r.Services[0].Service
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is the largest number of requests in a batch.
	Slots int
	// ContextTokens is the capacity of an engine's KV cache in tokens, TokenBytes the
	// size of the context (KV cache) of one token.
	ContextTokens, TokenBytes int
	// Stride is the number of batch steps that an event of a response takes; 0 if not
	// stated.
	Stride int
	Models []string
}

// Store describes a store of context (KV cache).
type Store struct {
	Address    netip.AddrPort
	DataCentre string
	// Capacity is in tokens.
	Capacity int
	// Managed stores evict nothing on their own.
	Managed bool
	// TransferDelay is the fixed delay of a transfer; LinkBitRate is the bandwidth of
	// the store's link in bits per second.
	TransferDelay time.Duration
	LinkBitRate   float64
}

// TokenTransferTime returns the time to transfer the context of one token over the
// store's link, or 0 if the link's bandwidth is not known.
func (s *Store) TokenTransferTime(tokenBytes int) time.Duration {
	if s.LinkBitRate <= 0 {
		return 0
	}
	const bitsPerByte = 8
	return time.Duration(float64(tokenBytes) * bitsPerByte / s.LinkBitRate * float64(time.Second))
}

// Service is a group of interchangeable upstreams, or a store.
type Service struct {
	Name string
	// ColdRate is the number of requests per second that a cold upstream may get; 0
	// means unlimited.
	ColdRate float64
	// Engine is set for model engines, Store for stores.
	Engine *Engine
	Store  *Store
}

// Account is the part of a client account that the request path uses.
type Account struct {
	Name string
	// Priority replaces that of the route if HasPriority.
	Priority    int
	HasPriority bool
	// Isolated accounts share no cached context with other accounts.
	Isolated bool
}

// Limits bound the sizes and times of a request from a caller.
type Limits struct {
	HeaderBytes, BodyBytes     int
	HeaderTimeout, IdleTimeout time.Duration
}

// Table is one version of the configuration. It must not be modified after NewTable,
// and is then safe for concurrent use.
type Table struct {
	Version  uint64
	Limits   Limits
	Services map[string]Service
	// HasAccounts is true if the configuration lists accounts. If not, requests need
	// no API key.
	HasAccounts bool
	// ResumableServices has the services of routes with resumable streams, and
	// ResumableTimeout the longest timeout of these routes; 0 if one has none.
	ResumableServices map[string]bool
	ResumableTimeout  time.Duration
	// byHost maps each host in lower case and each prefix to a route.
	byHost   map[string]map[string]*Route
	accounts map[string]Account
	// longestTimeouts is by service.
	longestTimeouts map[string]time.Duration
}

// NewTable indexes a configuration. The map accounts is keyed by API key. The table
// keeps routes and accounts, which the caller must not change afterwards.
func NewTable(version uint64, limits Limits, routes []Route, services []Service, accounts map[string]Account, hasAccounts bool) *Table {
	t := &Table{
		Version: version, Limits: limits, Services: map[string]Service{},
		HasAccounts: hasAccounts, ResumableServices: map[string]bool{}, byHost: map[string]map[string]*Route{}, accounts: accounts,
		longestTimeouts: map[string]time.Duration{},
	}
	for _, s := range services {
		t.Services[s.Name] = s
	}
	for i := range routes {
		host := strings.ToLower(routes[i].Host)
		if t.byHost[host] == nil {
			t.byHost[host] = map[string]*Route{}
		}
		// Of routes with the same host and prefix, the first one wins.
		if _, ok := t.byHost[host][routes[i].Prefix]; !ok {
			t.byHost[host][routes[i].Prefix] = &routes[i]
		}
	}
	t.indexResumable(routes)
	t.indexTimeouts(routes)
	return t
}

func (t *Table) indexResumable(routes []Route) {
	unbounded := false
	for _, r := range routes {
		if r.Kind != Streaming || !r.Resumable {
			continue
		}
		for _, s := range r.Services {
			t.ResumableServices[s.Service] = true
		}
		unbounded = unbounded || r.Timeout == 0
		t.ResumableTimeout = max(t.ResumableTimeout, r.Timeout)
	}
	if unbounded {
		t.ResumableTimeout = 0
	}
}

// LongestTimeout returns the longest timeout of the routes that may lead to a service; 0 if
// one of them has none, or if there is none.
func (t *Table) LongestTimeout(service string) time.Duration { return t.longestTimeouts[service] }

func (t *Table) indexTimeouts(routes []Route) {
	unbounded := map[string]bool{}
	for _, r := range routes {
		for _, s := range r.Services {
			unbounded[s.Service] = unbounded[s.Service] || r.Timeout == 0
			t.longestTimeouts[s.Service] = max(t.longestTimeouts[s.Service], r.Timeout)
		}
	}
	for service, is := range unbounded {
		if is {
			t.longestTimeouts[service] = 0
		}
	}
}

// Match returns the route of the host with the longest prefix of the path. A port in
// host is ignored. Prefixes end with a slash, so only the path and its prefixes up to
// each slash are looked up, and the time does not grow with the number of routes.
func (t *Table) Match(host, path string) (*Route, bool) {
	if name, _, ok := strings.Cut(host, ":"); ok {
		host = name
	}
	routes := t.byHost[strings.ToLower(host)]
	for end := len(path); end > 0; end = strings.LastIndexByte(path[:end-1], '/') + 1 {
		if r, ok := routes[path[:end]]; ok {
			return r, true
		}
	}
	return nil, false
}

// Account returns the account of an API key.
func (t *Table) Account(key string) (Account, bool) {
	a, ok := t.accounts[key]
	return a, ok
}

// TokenBytes returns the size of the context of one token in bytes, the largest of all
// engines.
func (t *Table) TokenBytes() int {
	size := 0
	for _, s := range t.Services {
		if s.Engine != nil {
			size = max(size, s.Engine.TokenBytes)
		}
	}
	return size
}

// Stores returns the stores of context, sorted by name.
func (t *Table) Stores() []Service {
	var out []Service
	for _, s := range t.Services {
		if s.Store != nil {
			out = append(out, s)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}
