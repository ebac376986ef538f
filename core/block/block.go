// Package block derives the keys of blocks of cached context (KV cache). A key is
// a chained hash over the client account, model, adapter and weight version and
// all tokens up to the end of the block, so equal keys mean equal context.
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

// Key identifies one block.
type Key [16]byte

// Scope is the account, model, adapter and weight version that context belongs to.
// Context is never shared between scopes.
type Scope struct {
	Account, Model, Adapter, Version string
}

// Keys returns the keys of the full blocks of a prompt, first to last. A token is
// a whitespace-separated word of the text. Trailing tokens that do not fill a block
// have no key.
func Keys(s Scope, text string) []Key {
	words := strings.Fields(text)
	prev := rootKey(s)
	var keys []Key
	for len(words) >= Tokens {
		prev = nextKey(prev, words[:Tokens])
		keys = append(keys, prev)
		words = words[Tokens:]
	}
	return keys
}

func rootKey(s Scope) Key {
	return hash(nil, []string{s.Account, s.Model, s.Adapter, s.Version})
}

func nextKey(prev Key, words []string) Key { return hash(prev[:], words) }

// hash returns the first 16 bytes of the SHA-256 of prev and parts. Each part is
// prefixed with its length, so that different lists of parts never hash the same
// input.
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

// MarshalText encodes the key in hexadecimal.
func (k Key) MarshalText() ([]byte, error) { return hex.AppendEncode(nil, k[:]), nil }

// UnmarshalText decodes a key in hexadecimal. It returns an error unless text is
// exactly 32 hexadecimal digits.
func (k *Key) UnmarshalText(text []byte) error {
	raw, err := hex.DecodeString(string(text))
	if err != nil || len(raw) != len(k) {
		return errors.New("a block key is 32 hexadecimal digits")
	}
	copy(k[:], raw)
	return nil
}
