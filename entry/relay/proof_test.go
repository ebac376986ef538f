package relay

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"crocusfold.dev/core/lease"
	"crocusfold.dev/core/pool"
	"crocusfold.dev/core/retry"
	"crocusfold.dev/core/route"
	"crocusfold.dev/core/topicview"
	"crocusfold.dev/entry/adapter"
	"crocusfold.dev/entry/edgeconfig"
	"crocusfold.dev/entry/replicas"
	"crocusfold.dev/entry/topics"
)

// keyLog is a log whose only record of the operators has the API key in force. Its reads
// block until there is a change.
type keyLog struct {
	adapter.Log
	changes chan topicview.Record
}

func (l keyLog) Newest(context.Context, adapter.Topic) ([]topicview.Record, topicview.Position, error) {
	return []topicview.Record{{Key: "config", Value: []byte("key-a"), Offset: 0}}, topicview.Position{Era: 1, Offset: 1}, nil
}

func (l keyLog) Read(ctx context.Context, t adapter.Topic, from topicview.Position, _ time.Duration) (adapter.Page, error) {
	if t != adapter.Operations {
		<-ctx.Done()
		return adapter.Page{}, errors.New("no changes")
	}
	select {
	case <-ctx.Done():
		return adapter.Page{}, ctx.Err()
	case rec := <-l.changes:
		end := topicview.Position{Era: 1, Offset: rec.Offset + 1}
		return adapter.Page{Records: []topicview.Record{rec}, Next: end, End: end}, nil
	}
}

func (l keyLog) Join(context.Context, string, time.Duration, uint64) (lease.Grant, error) {
	return lease.Grant{}, nil
}

// slowDecoder decodes a configuration with one key. The second one takes until released.
type slowDecoder struct {
	decoding, release chan struct{}
}

func (d slowDecoder) Newer(adapter.Topic, topicview.Record, topicview.Record) (newer, known bool) {
	return false, false
}

func (d slowDecoder) Intent(records []topicview.Record) (adapter.Intent, error) {
	key := string(records[0].Value)
	if key != "key-a" {
		close(d.decoding)
		<-d.release
	}
	accounts := map[string]route.Account{key: {Name: "account"}}
	routes := []route.Route{{Name: "order", Host: "h", Prefix: "/", Services: []route.WeightedService{{Service: "app", Weight: 1}}, MaxAttempts: 1}}
	return adapter.Intent{Table: route.NewTable(records[0].Offset+1, route.Limits{}, routes, []route.Service{{Name: "app"}}, accounts, true)}, nil
}

func (d slowDecoder) Replica(time.Time, topicview.Record) (pool.Replica, error) {
	return pool.Replica{}, errors.New("no replicas")
}

func (d slowDecoder) RolloutStatus(topicview.Record) (adapter.RolloutStatus, bool, error) {
	return adapter.RolloutStatus{}, false, nil
}

func (d slowDecoder) EncodeRolloutStatus(adapter.RolloutStatus) (string, []byte, error) {
	return "", nil, errors.New("no rollouts")
}

// dialect reads the API key only.
type dialect struct{ adapter.Dialect }

func (dialect) ParseRequest(h http.Header) adapter.RequestInfo {
	return adapter.RequestInfo{Key: h.Get("Key")}
}

// TestKeyIsJudgedByOneView checks that a request is not admitted by an old configuration and
// the proof of a newer one, which has taken its key away. The request comes while the newer
// configuration is being decoded, at an instance whose last proof is too old.
func TestKeyIsJudgedByOneView(t *testing.T) {
	is := is.New(t)
	var bounds edgeconfig.LiveBounds
	bounds.Set(edgeconfig.Bounds{Revoke: 5 * time.Second, Drain: 2 * time.Second})
	var mu sync.Mutex
	ahead := time.Duration(0)
	now := func() time.Time {
		mu.Lock()
		defer mu.Unlock()
		return time.Now().Add(ahead)
	}
	l := keyLog{changes: make(chan topicview.Record)}
	decoder := slowDecoder{make(chan struct{}), make(chan struct{})}
	rs := &replicas.Replicas{Decoder: decoder, Now: now, Logger: log.NewNopLogger(), Bounds: &bounds}
	loaded := make(chan struct{}, 1)
	tp := &topics.Topics{
		Log: l, Decoder: decoder, Now: now, Logger: log.NewNopLogger(), Bounds: &bounds,
		OnReplicas: rs.ApplyRecords, OnInstances: func([]topicview.Record) {}, IsReader: func(time.Time) bool { return true },
		Isolated: func() bool { return true }, OnAdvance: func() {}, OnRestore: func() {},
		OnListLoaded: func(time.Time, []topicview.Record, bool) {},
		OnIntent:     func(*adapter.Intent) { loaded <- struct{}{} },
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go tp.Run(ctx)
	// An intent is published under the lock under which OnIntent is called.
	published := func() {
		<-loaded
		tp.ReachesLog()
	}
	published()
	rl := &Relay{
		Bounds: &bounds, Dialect: dialect{}, Topics: tp, Replicas: rs, Budgets: &retry.Budgets{}, Now: now, Logger: log.NewNopLogger(),
		Metrics: NewMetrics(tally.NoopScope), Crashes: NewCrashes(1),
	}
	send := func() string {
		r := httptest.NewRequest(http.MethodPost, "http://h/x", nil)
		r.Header.Set("Key", "key-a")
		w := httptest.NewRecorder()
		rl.ServeHTTP(w, r)
		return strings.TrimSpace(w.Body.String())
	}
	is.Equal(send(), `{"error":"no-replica"}`) // admitted: the first proof is fresh
	mu.Lock()
	ahead = time.Minute // the instance was cut off meanwhile
	mu.Unlock()
	is.Equal(send(), `{"error":"configuration-not-proven"}`)
	// The read that was sent a minute ago brings the change and no fresh proof; the next
	// one would. Both are decoded under the same lock.
	l.changes <- topicview.Record{Key: "config", Value: []byte("key-a"), Offset: 1}
	published()
	answer := make(chan string, 1)
	l.changes <- topicview.Record{Key: "config", Value: []byte("key-b"), Offset: 2}
	<-decoder.decoding
	go func() { answer <- send() }()
	time.Sleep(100 * time.Millisecond)
	close(decoder.release)
	is.Equal(<-answer, `{"error":"configuration-not-proven"}`)
	published()
	is.Equal(send(), `{"error":"key-unknown"}`)
}
