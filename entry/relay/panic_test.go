package relay

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/matryer/is"

	"crocusfold.dev/core/pool"
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

// panickingWriter panics when the head of a response is written.
type panickingWriter struct{ http.ResponseWriter }

func (panickingWriter) WriteHeader(int) { panic("invalid status") }

// TestPanicGivesPlaceBack guards against places of a replica that are lost when the handler
// panics, after which its service is refused as full.
func TestPanicGivesPlaceBack(t *testing.T) {
	is := is.New(t)
	oneReplica(t, func(rl *Relay, send func(context.Context) chan response) {
		for range 20 {
			func() {
				defer func() { is.Equal(recover(), "invalid status") }()
				rl.ServeHTTP(panickingWriter{httptest.NewRecorder()}, httptest.NewRequest(http.MethodPost, "http://h/x", nil))
			}()
		}
		rl.Replicas.WithPool(func(p *pool.Pool) { is.Equal(p.Load(time.Now(), "p").Running, 0) })
		is.Equal(rl.InFlight(), 0)
		is.Equal((<-send(context.Background())).status, http.StatusOK)
	})
}
