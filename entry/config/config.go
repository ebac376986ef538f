// Package config holds the settings of an entry instance.
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
	// Region groups data centres; instances of a region share the loads of its
	// upstreams. It may be left out where there is one region.
	Region string `json:"region"`
	// Listen is where callers and operators connect.
	Listen netip.AddrPort `json:"listen" required:"true"`
	// PeerListen is where the other instances connect.
	PeerListen netip.AddrPort `json:"peer-listen" required:"true"`
	// Log and InstanceList are the platform's services.
	Log          netip.AddrPort `json:"log" required:"true"`
	InstanceList netip.AddrPort `json:"instance-list" required:"true"`
	// PeerToken and OperatorToken are shared secrets.
	PeerToken     string `json:"peer-token" required:"true"`
	OperatorToken string `json:"operator-token" required:"true"`
	// ClaimStreams is the number of streams for claims, alike on all instances.
	ClaimStreams int `json:"claim-streams" min:"1"`
	// Preset weighs the first token against recomputation.
	Preset string `json:"preset" enum:"first-token,recompute"`
	// MaxRequests bounds the requests in flight.
	MaxRequests int `json:"max-requests" min:"1"`
	// UnreadyWait is how long the instance still accepts requests after it has
	// turned unready, while the balancer catches up.
	UnreadyWait time.Duration `json:"unready-wait"`
	// StopLimit is how long running requests may take to end.
	StopLimit time.Duration `json:"stop-limit"`
	// Distances gives the one-way delay to other data centres.
	Distances []Distance `json:"distances"`
}

// Distance is the one-way delay to a data centre.
type Distance struct {
	DataCentre string        `json:"data-centre" required:"true"`
	Delay      time.Duration `json:"delay" required:"true"`
}

// Defaults for keys that the file leaves out.
const (
	defaultClaimStreams = 16
	defaultMaxRequests  = 2000
	defaultUnreadyWait  = 3 * time.Second
	defaultStopLimit    = 60 * time.Second
	defaultPreset       = "first-token"
)

// Load reads and checks a settings file.
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

// Member returns the instance as its peers know it.
func (s Settings) Member() roster.Member {
	return roster.Member{Name: s.Name, Address: s.PeerListen, DataCentre: s.DataCentre, Region: s.Region}
}

// DistanceTo returns the one-way delay to a data centre; 0 within the own one.
func (s Settings) DistanceTo(dataCentre string) time.Duration {
	for _, d := range s.Distances {
		if d.DataCentre == dataCentre {
			return d.Delay
		}
	}
	return 0
}
