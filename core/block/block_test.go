package block

import (
	"testing"

	"github.com/matryer/is"
)

func TestEncodedKeyHasAllBytes(t *testing.T) {
	is := is.New(t)
	k := Key{0: 0x0a, 6: 0xbc, 15: 0xde}
	text, err := k.MarshalText()
	is.NoErr(err)
	is.Equal(string(text), "0a0000000000bc0000000000000000de")
	var decoded Key
	is.NoErr(decoded.UnmarshalText(text))
	is.Equal(decoded, k)
}
