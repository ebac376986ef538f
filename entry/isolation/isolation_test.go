package isolation

import (
	"testing"

	"github.com/matryer/is"

	"crocusfold.dev/core/quarantine"
)

func TestOwnerKeyHasTheWholeFingerprint(t *testing.T) {
	is := is.New(t)
	fp := quarantine.Fingerprint{0: 0x0a, 6: 0xbc, 15: 0xde}
	is.Equal(ownerKey(fp), "content/0a0000000000bc0000000000000000de")
}
