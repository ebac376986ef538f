package relay

import (
	"bytes"
	"net/http"
	"strings"
	"testing"

	"github.com/go-kit/log"
	"github.com/matryer/is"
)

// TestPanicIsLogged checks that a panic of the handler is logged and goes on, and that an
// aborted response is not logged as one.
func TestPanicIsLogged(t *testing.T) {
	for _, c := range []struct {
		name   string
		value  any
		logged bool
	}{
		{"fault", "index out of range", true},
		{"aborted response", http.ErrAbortHandler, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var out bytes.Buffer
			handled := &call{relay: &Relay{Logger: log.NewLogfmtLogger(&out)}}
			defer func() {
				is.Equal(recover(), c.value)
				is.Equal(strings.Contains(out.String(), `msg="Serving a request panicked."`), c.logged)
			}()
			defer handled.logPanic()
			panic(c.value)
		})
	}
}
