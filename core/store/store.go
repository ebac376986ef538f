// Package store defines the configuration of a KV store that holds exported context.
package store

import (
	"errors"
	"fmt"
	"net/netip"
)

// Store configures one KV store instance, which keeps context in memory and on disk.
type Store struct {
	Name       string         `json:"name" required:"true"`
	Address    netip.AddrPort `json:"address" required:"true"`
	DataCentre string         `json:"data-centre" required:"true"`
	// Rate is the bandwidth of the link to the store in bytes per second; it may be
	// omitted.
	Rate int64 `json:"rate,omitempty"`
}

// Check returns an error for the first field that is missing or invalid, or nil.
func (s Store) Check() error {
	if s.Name == "" || s.DataCentre == "" {
		return errors.New("store: name and data-centre must be given")
	}
	if !s.Address.IsValid() || s.Address.Port() == 0 {
		return fmt.Errorf("store %s: address must be IP:port", s.Name)
	}
	if s.Rate < 0 {
		return fmt.Errorf("store %s: rate must not be negative", s.Name)
	}
	return nil
}
