// Package route holds the operators' configuration in the form in which the
// request path looks it up: routes by host and path, services, and accounts by
// key.
package route

import (
	"net/netip"
	"sort"
	"strings"
	"time"
)

// Kind says what may be repeated of a route's requests.
type Kind int

// The kinds of routes.
const (
	// NonIdempotent requests run at most once.
	NonIdempotent Kind = iota
	// Idempotent requests may run again after any failure.
	Idempotent
	// Streaming requests are answered by events and run at most once, unless
	// the route is resumable.
	Streaming
)

// WeightedService is one of the services that a route's requests go to.
type WeightedService struct {
	Service string
	Weight  float64
}

// Route is one operator rule for requests.
type Route struct {
	Name, Host, Prefix string
	Kind               Kind
	// Services has one service, or several with their shares.
	Services []WeightedService
	// Timeout is the longest time that a request is kept waiting.
	Timeout time.Duration
	// TargetLatency is the time within which an answer has its full worth.
	TargetLatency time.Duration
	// MaxGap is the longest pause between events that is still on time.
	MaxGap time.Duration
	// Priority is the rank of the requests; 0 is the most urgent.
	Priority int
	// MaxAttempts is the number of upstreams that one request may run on.
	MaxAttempts int
	// Public routes need no key.
	Public bool
	// Resumable streams may go on at another upstream.
	Resumable bool
	// CarriesPrompts is true if the requests carry prompts for model engines.
	CarriesPrompts bool
}

// Retryable reports whether a request may run more than once.
func (r *Route) Retryable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// Pick returns the service for a request by its hash, in proportion to the weights.
func (r *Route) Pick(hash uint64) string {
	total := 0.0
	for _, c := range r.Services {
		total += c.Weight
	}
	const steps = 1 << 20
	at := float64(hash%steps) / steps * total
	for _, c := range r.Services {
		if at < c.Weight {
			return c.Service
		}
		at -= c.Weight
	}
	if len(r.Services) == 0 {
		return ""
	}
	return r.Services[0].Service
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is the number of requests in a batch.
	Slots int
	// ContextTokens is the number of tokens that an engine holds, TokenBytes the size
	// of the context of one token.
	ContextTokens, TokenBytes int
	Models                    []string
}

// Store describes a store of context.
type Store struct {
	Address    netip.AddrPort
	DataCentre string
	// Capacity is in tokens.
	Capacity int
	// Managed stores drop nothing on their own.
	Managed bool
	// TransferDelay is the fixed delay of a transfer; LinkBits is the rate of the
	// store's link in bits per second.
	TransferDelay time.Duration
	LinkBitRate   float64
}

// TokenTransferTime is the time that the context of one token takes on the store's link.
func (s *Store) TokenTransferTime(tokenBytes int) time.Duration {
	if s.LinkBitRate <= 0 {
		return 0
	}
	const bitsPerByte = 8
	return time.Duration(float64(tokenBytes) * bitsPerByte / s.LinkBitRate * float64(time.Second))
}

// Service is a group of equal upstreams, or a store.
type Service struct {
	Name string
	// ColdRate is the number of requests per second that a cold upstream bears;
	// 0 means that there is no limit.
	ColdRate float64
	// Engine is set for model engines, Store for stores.
	Engine *Engine
	Store  *Store
}

// Account is a client account as the request path needs it.
type Account struct {
	Name string
	// Priority goes before that of the route if Ranked.
	Priority    int
	HasPriority bool
	// Isolated accounts share no context with others.
	Isolated bool
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes, BodyBytes     int
	HeaderTimeout, IdleTimeout time.Duration
}

// Table is one version of the configuration. It must not be changed after NewTable.
type Table struct {
	Version  uint64
	Limits   Limits
	Services map[string]Service
	// HasAccounts is true if the configuration has accounts.
	HasAccounts bool
	// byHost has the routes of each host by their prefixes.
	byHost   map[string]map[string]*Route
	accounts map[string]Account
}

// NewTable indexes a configuration. accounts maps keys to accounts.
func NewTable(version uint64, limits Limits, routes []Route, services []Service, accounts map[string]Account, keyed bool) *Table {
	t := &Table{
		Version: version, Limits: limits, Services: map[string]Service{},
		HasAccounts: keyed, byHost: map[string]map[string]*Route{}, accounts: accounts,
	}
	for _, s := range services {
		t.Services[s.Name] = s
	}
	for i := range routes {
		host := strings.ToLower(routes[i].Host)
		if t.byHost[host] == nil {
			t.byHost[host] = map[string]*Route{}
		}
		// Of equal prefixes the first one counts.
		if _, ok := t.byHost[host][routes[i].Prefix]; !ok {
			t.byHost[host][routes[i].Prefix] = &routes[i]
		}
	}
	return t
}

// Match returns the route of the host with the longest prefix that begins the path.
// Prefixes end with a slash, so its time does not grow with the number of routes.
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

// Account returns the account that holds a key.
func (t *Table) Account(key string) (Account, bool) {
	a, ok := t.accounts[key]
	return a, ok
}

// TokenBytes is the size of the context of one token, the largest of all engines.
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
