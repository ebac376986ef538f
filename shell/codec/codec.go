// Package codec writes the members of a sealed interface as CBOR, each with a
// number that says which member it is.
package codec

import (
	"fmt"
	"reflect"

	"github.com/fxamacker/cbor/v2"

	"crocusfold.dev/core/change"
	"crocusfold.dev/core/order"
)

// Union encodes the members of the interface T. Numbers must not be reused,
// since records outlive the program that wrote them.
type Union[T any] struct {
	numbers  map[reflect.Type]uint64
	decoders map[uint64]func([]byte) (T, error)
}

// Member is one member of a union with its number.
type Member[T any] struct {
	number uint64
	typ    reflect.Type
	decode func([]byte) (T, error)
}

// Case declares the member M of the union T.
func Case[T any, M any](number uint64, wrap func(M) T) Member[T] {
	return Member[T]{number, reflect.TypeFor[M](), func(raw []byte) (T, error) {
		var m M
		if err := strict.Unmarshal(raw, &m); err != nil {
			var none T
			return none, fmt.Errorf("decoding %s: %w", reflect.TypeFor[M](), err)
		}
		return wrap(m), nil
	}}
}

// NewUnion collects the members of a union.
func NewUnion[T any](members ...Member[T]) *Union[T] {
	u := &Union[T]{map[reflect.Type]uint64{}, map[uint64]func([]byte) (T, error){}}
	for _, m := range members {
		u.numbers[m.typ] = m.number
		u.decoders[m.number] = m.decode
	}
	return u
}

type envelope struct {
	_      struct{} `cbor:",toarray"`
	Number uint64
	Body   cbor.RawMessage
}

// Limits on what is read from outside.
const (
	maxItems  = 1 << 17
	maxNested = 16
)

var strict = mustMode()

func mustMode() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: maxItems, MaxMapPairs: maxItems, MaxNestedLevels: maxNested}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// Encode writes a member.
func (u *Union[T]) Encode(m T) ([]byte, error) {
	number, ok := u.numbers[reflect.TypeOf(m)]
	if !ok {
		return nil, fmt.Errorf("encoding %T: not a member of the union", m)
	}
	body, err := cbor.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("encoding %T: %w", m, err)
	}
	raw, err := cbor.Marshal(envelope{Number: number, Body: body})
	if err != nil {
		return nil, fmt.Errorf("encoding the envelope of %T: %w", m, err)
	}
	return raw, nil
}

// Decode reads a member.
func (u *Union[T]) Decode(raw []byte) (T, error) {
	var none T
	var e envelope
	if err := strict.Unmarshal(raw, &e); err != nil {
		return none, fmt.Errorf("decoding an envelope: %w", err)
	}
	decode, ok := u.decoders[e.Number]
	if !ok {
		return none, fmt.Errorf("decoding: member %d is not known", e.Number)
	}
	return decode(e.Body)
}

// Changes is the union of the configuration stream.
var Changes = NewUnion(
	Case(1, func(m change.Change) change.Record { return m }),
	Case(2, func(m change.Heartbeat) change.Record { return m }),
	Case(3, func(m change.Snapshot) change.Record { return m }),
)

// Orders is the union of the claim streams.
var Orders = NewUnion(
	Case(1, func(m order.Claimed) order.Record { return m }),
	Case(2, func(m order.Settled) order.Record { return m }),
)
