package edge

import (
	"context"
	"time"

	"github.com/uber-go/tally/v4"

	"crocusfold.dev/core/lease"
	"crocusfold.dev/core/topicview"
	"crocusfold.dev/entry/adapter"
)

// countingLog counts the calls to the platform's log by topic and result, since the
// platform charges for the calls and limits them.
type countingLog struct {
	adapter.Log
	scope tally.Scope
}

func (l countingLog) count(call string, topic adapter.Topic, err error) {
	countCall(l.scope, call, topic.String(), err)
}

func countCall(scope tally.Scope, call, topic string, err error) {
	result := "ok"
	if err != nil {
		result = "failed"
	}
	scope.Tagged(map[string]string{"call": call, "topic": topic, "result": result}).Counter("log_calls").Inc(1)
}

// Newest forwards the call and counts its result.
func (l countingLog) Newest(ctx context.Context, t adapter.Topic) ([]topicview.Record, topicview.Position, error) {
	records, next, err := l.Log.Newest(ctx, t)
	l.count("newest", t, err)
	return records, next, err
}

// Read forwards the call and counts its result.
func (l countingLog) Read(ctx context.Context, t adapter.Topic, from topicview.Position, wait time.Duration) (adapter.Page, error) {
	page, err := l.Log.Read(ctx, t, from, wait)
	l.count("read", t, err)
	return page, err
}

// Put forwards the call and counts its result.
func (l countingLog) Put(ctx context.Context, key string, value []byte) error {
	err := l.Log.Put(ctx, key, value)
	l.count("put", adapter.Instances, err)
	return err
}

// PutFenced forwards the call and counts its result.
func (l countingLog) PutFenced(ctx context.Context, key string, value []byte, token adapter.FencingToken) error {
	err := l.Log.PutFenced(ctx, key, value, token)
	l.count("put", adapter.Instances, err)
	return err
}

// Join forwards the call and counts its result.
func (l countingLog) Join(ctx context.Context, member string, ttl time.Duration, generation uint64) (lease.Grant, error) {
	g, err := l.Log.Join(ctx, member, ttl, generation)
	l.count("join", adapter.Instances, err)
	return g, err
}

// Leave forwards the call and counts its result.
func (l countingLog) Leave(ctx context.Context, member string) error {
	err := l.Log.Leave(ctx, member)
	l.count("leave", adapter.Instances, err)
	return err
}

// countingJournal counts the calls of a journal in the same way.
type countingJournal struct {
	adapter.Journal
	scope tally.Scope
}

// Append forwards the call and counts its result.
func (j countingJournal) Append(ctx context.Context, part int, value []byte) error {
	err := j.Journal.Append(ctx, part, value)
	countCall(j.scope, "put", "origins", err)
	return err
}

// Extent forwards the call and counts its result.
func (j countingJournal) Extent(ctx context.Context, part int) (first, end topicview.Position, err error) {
	first, end, err = j.Journal.Extent(ctx, part)
	countCall(j.scope, "extent", "origins", err)
	return first, end, err
}

// Read forwards the call and counts its result.
func (j countingJournal) Read(ctx context.Context, part int, from topicview.Position) (values [][]byte, next, end topicview.Position, err error) {
	values, next, end, err = j.Journal.Read(ctx, part, from)
	countCall(j.scope, "read", "origins", err)
	return values, next, end, err
}

// countingTopic counts the calls of a keyed topic in the same way.
type countingTopic struct {
	adapter.KeyedTopic
	scope tally.Scope
}

// Newest forwards the call and counts its result.
func (t countingTopic) Newest(ctx context.Context) ([]topicview.Record, topicview.Position, error) {
	records, end, err := t.KeyedTopic.Newest(ctx)
	countCall(t.scope, "newest", "versions", err)
	return records, end, err
}

// Put forwards the call and counts its result.
func (t countingTopic) Put(ctx context.Context, key string, value []byte) error {
	err := t.KeyedTopic.Put(ctx, key, value)
	countCall(t.scope, "put", "versions", err)
	return err
}
