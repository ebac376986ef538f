// Package store describes a store instance that holds exported context.
package store

import (
	"errors"
	"fmt"
	"net/netip"
)

// Store is one KV store instance with memory and disk.
type Store struct {
	Name       string         `json:"name" required:"true"`
	Address    netip.AddrPort `json:"address" required:"true"`
	DataCentre string         `json:"data-centre" required:"true"`
	// Rate is the capacity of the link to the store, in bytes per second.
	Rate int64 `json:"rate,omitempty"`
}

// Check reports the first field that is not usable.
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
