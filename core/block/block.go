// Package block names pieces of cached context. A key covers the client
// account, model, adapter and weight version and all tokens before its end, so
// equal keys mean equal context.
package block

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"strings"
)

// Tokens is the length of a block in tokens.
const Tokens = 1000

// Key names one block.
type Key [16]byte

// Scope is what context belongs to; it is never shared between holders.
type Scope struct {
	Account, Model, Adapter, Version string
}

// Keys returns the keys of the whole blocks of a prompt, first to last. Tokens
// are words of the text; a rest that does not fill a block has no key.
func Keys(h Scope, text string) []Key {
	words := strings.Fields(text)
	prev := rootKey(h)
	var keys []Key
	for len(words) >= Tokens {
		prev = nextKey(prev, words[:Tokens])
		keys = append(keys, prev)
		words = words[Tokens:]
	}
	return keys
}

func rootKey(h Scope) Key {
	return hash(nil, []string{h.Account, h.Model, h.Adapter, h.Version})
}

func nextKey(prev Key, words []string) Key { return hash(prev[:], words) }

// hash prefixes each part with its length, so that no two lists of parts give
// the same input.
func hash(prev []byte, parts []string) Key {
	d := sha256.New()
	d.Write(prev)
	var n [4]byte
	for _, p := range parts {
		binary.BigEndian.PutUint32(n[:], uint32(len(p)))
		d.Write(n[:])
		d.Write([]byte(p))
	}
	var k Key
	copy(k[:], d.Sum(nil))
	return k
}

// String returns the key in hexadecimal.
func (k Key) String() string { return hex.EncodeToString(k[:]) }

// MarshalText writes the key in hexadecimal.
func (k Key) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// UnmarshalText reads a key in hexadecimal.
func (k *Key) UnmarshalText(text []byte) error {
	raw, err := hex.DecodeString(string(text))
	if err != nil || len(raw) != len(k) {
		return errors.New("a block key is 32 hexadecimal digits")
	}
	copy(k[:], raw)
	return nil
}
