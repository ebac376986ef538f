// Package account describes a client account and its limits.
package account

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
)

// Account is one client account. The limits apply to all entry instances together.
type Account struct {
	// Name identifies the account and is part of every block key and order key.
	Name string `json:"name" required:"true"`
	// TokenHash is the hex SHA-256 of the bearer token that callers present.
	TokenHash string `json:"token-hash" required:"true"`
	// Rate is the sustained number of requests per second; 0 means unlimited.
	Rate float64 `json:"rate,omitempty"`
	// Burst is the number of requests admitted at once above the rate.
	Burst float64 `json:"burst,omitempty"`
	// Concurrent is the number of requests in flight; 0 means unlimited.
	Concurrent int `json:"concurrent,omitempty"`
}

// HashToken returns the hex SHA-256 of a bearer token, for TokenHash.
func HashToken(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// Check returns an error for the first invalid field.
func (a Account) Check() error {
	if a.Name == "" {
		return errors.New("account: name is missing")
	}
	if raw, err := hex.DecodeString(a.TokenHash); err != nil || len(raw) != sha256.Size {
		return fmt.Errorf("account %s: token-hash must be 64 hexadecimal digits", a.Name)
	}
	if a.Rate < 0 || a.Burst < 0 || a.Concurrent < 0 {
		return fmt.Errorf("account %s: rate, burst and concurrent must not be negative", a.Name)
	}
	return nil
}
