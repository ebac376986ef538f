// Package config holds the settings of an instance of crocus-entry.
package config

import (
	"fmt"
	"net/netip"
	"time"

	"crocusfold.dev/core/roster"
	"crocusfold.dev/shell/settings"
)

// Settings are read from a YAML file when the instance starts.
type Settings struct {
	// Name is unique among the instances.
	Name       string `json:"name" required:"true"`
	DataCentre string `json:"data-centre" required:"true"`
	// Region groups data centres. The instances of a region exchange the loads of its
	// upstreams. It may be omitted if there is only one region.
	Region string `json:"region"`
	// Listen is the address for callers and operators.
	Listen netip.AddrPort `json:"listen" required:"true"`
	// PeerListen is the address for the other instances. It must differ from Listen.
	PeerListen netip.AddrPort `json:"peer-listen" required:"true"`
	// Log and InstanceList are the addresses of the platform's log service and of its
	// list of instances.
	Log          netip.AddrPort `json:"log" required:"true"`
	InstanceList netip.AddrPort `json:"instance-list" required:"true"`
	// PeerToken and OperatorToken are the shared secrets that authenticate instances to
	// each other and operators to instances.
	PeerToken     string `json:"peer-token" required:"true"`
	OperatorToken string `json:"operator-token" required:"true"`
	// ClaimStreams is the number of claim streams. It must be the same on all
	// instances.
	ClaimStreams int `json:"claim-streams" min:"1"`
	// Preset says what placement weighs more: "first-token" the time to the first
	// token, "recompute" the recomputation of cached context.
	Preset string `json:"preset" enum:"first-token,recompute"`
	// MaxRequests bounds the requests in flight.
	MaxRequests int `json:"max-requests" min:"1"`
	// MemoryMB is the memory of the machine in MB, and MaxFDs the number of file descriptors
	// of the process; 0 is without limit.
	MemoryMB int `json:"memory-mb"`
	MaxFDs   int `json:"max-fds"`
	// UnreadyWait is how long the instance still accepts requests after it has turned
	// unready, until the load balancer has noticed.
	UnreadyWait time.Duration `json:"unready-wait"`
	// StopLimit is how long running requests may take to finish after UnreadyWait.
	StopLimit time.Duration `json:"stop-limit"`
	// Distances has the one-way network delays to other data centres.
	Distances []Distance `json:"distances"`
}

// Distance is the one-way network delay to a data centre.
type Distance struct {
	DataCentre string        `json:"data-centre" required:"true"`
	Delay      time.Duration `json:"delay" required:"true"`
}

// Defaults of the optional keys.
const (
	defaultClaimStreams = 16
	defaultMaxRequests  = 2000
	defaultUnreadyWait  = 3 * time.Second
	defaultStopLimit    = 60 * time.Second
	defaultPreset       = "first-token"
)

// Load reads and validates a settings file. Keys that the file omits have their
// defaults.
func Load(file string) (Settings, error) {
	s := Settings{
		ClaimStreams: defaultClaimStreams, MaxRequests: defaultMaxRequests,
		UnreadyWait: defaultUnreadyWait, StopLimit: defaultStopLimit, Preset: defaultPreset,
	}
	if err := settings.Load(file, &s); err != nil {
		return s, fmt.Errorf("settings of the entry instance: %w", err)
	}
	if s.Listen == s.PeerListen {
		return s, fmt.Errorf("settings of the entry instance: %s: peer-listen: is the same as listen; allowed: another address", file)
	}
	return s, nil
}

// Member returns the instance's own entry in the list of members.
func (s Settings) Member() roster.Member {
	return roster.Member{Name: s.Name, Address: s.PeerListen, DataCentre: s.DataCentre, Region: s.Region}
}

// DistanceTo returns the one-way network delay to a data centre, or 0 if the settings
// have none, as for the instance's own data centre.
func (s Settings) DistanceTo(dataCentre string) time.Duration {
	for _, d := range s.Distances {
		if d.DataCentre == dataCentre {
			return d.Delay
		}
	}
	return 0
}
