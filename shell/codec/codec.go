// Package codec encodes the members of a sealed interface as CBOR, each in an envelope
// with the member's number.
package codec

import (
	"fmt"
	"reflect"

	"github.com/fxamacker/cbor/v2"

	"crocusfold.dev/core/change"
	"crocusfold.dev/core/order"
)

// Union encodes and decodes the members of the sealed interface T. A number must not be
// reused for another member, since records outlive the version of the program that
// wrote them.
type Union[T any] struct {
	numbers  map[reflect.Type]uint64
	decoders map[uint64]func([]byte) (T, error)
}

// Member describes one member of a union: its type and its number.
type Member[T any] struct {
	number uint64
	typ    reflect.Type
	decode func([]byte) (T, error)
}

// Case declares the type M a member of the union T, under a number that is unique in the
// union. The function wrap converts an M to a T.
func Case[T any, M any](number uint64, wrap func(M) T) Member[T] {
	return Member[T]{number, reflect.TypeFor[M](), func(raw []byte) (T, error) {
		var m M
		if err := decMode.Unmarshal(raw, &m); err != nil {
			var zero T
			return zero, fmt.Errorf("decoding %s: %w", reflect.TypeFor[M](), err)
		}
		return wrap(m), nil
	}}
}

// NewUnion returns the union of the given members.
func NewUnion[T any](members ...Member[T]) *Union[T] {
	u := &Union[T]{map[reflect.Type]uint64{}, map[uint64]func([]byte) (T, error){}}
	for _, m := range members {
		u.numbers[m.typ] = m.number
		u.decoders[m.number] = m.decode
	}
	return u
}

// envelope is the encoded form of a member, whose own encoding is Body. It is encoded as
// an array, so the order of the fields must stay.
type envelope struct {
	_      struct{} `cbor:",toarray"`
	Number uint64
	Body   cbor.RawMessage
}

// Bounds on the input of Decode, which comes from other processes.
const (
	// maxItems bounds the elements of one array and the pairs of one map.
	maxItems = 1 << 17
	// maxNested bounds the levels of nesting.
	maxNested = 16
)

var decMode = newDecMode()

func newDecMode() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: maxItems, MaxMapPairs: maxItems, MaxNestedLevels: maxNested}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// Encode returns m in its envelope. It returns an error if the type of m is not a member
// of the union.
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

// Decode returns the member that raw encodes. It returns an error if the number is that
// of no member, or if raw is malformed or exceeds maxItems or maxNested.
func (u *Union[T]) Decode(raw []byte) (T, error) {
	var zero T
	var e envelope
	if err := decMode.Unmarshal(raw, &e); err != nil {
		return zero, fmt.Errorf("decoding an envelope: %w", err)
	}
	decode, ok := u.decoders[e.Number]
	if !ok {
		return zero, fmt.Errorf("decoding: member %d is not known", e.Number)
	}
	return decode(e.Body)
}

// Changes encodes and decodes the records of the configuration stream.
var Changes = NewUnion(
	Case(1, func(m change.Change) change.Record { return m }),
	Case(2, func(m change.Heartbeat) change.Record { return m }),
	Case(3, func(m change.Snapshot) change.Record { return m }),
)

// Orders encodes and decodes the records of the claim streams.
var Orders = NewUnion(
	Case(1, func(m order.Claimed) order.Record { return m }),
	Case(2, func(m order.Settled) order.Record { return m }),
)
