package originlog

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"crocusfold.dev/core/topicview"
	"crocusfold.dev/entry/adapter"
	"crocusfold.dev/entry/message"
)

// journal is a partition that retains the records from the offset first on.
type journal struct {
	era, first uint64
	records    [][]byte
	// pageSize is the number of records of a response.
	pageSize int
	reads    int
	err      error
}

func (j *journal) Append(_ context.Context, _ int, value []byte) error {
	j.records = append(j.records, value)
	return j.err
}

func (j *journal) Extent(context.Context, int) (first, end topicview.Position, err error) {
	return topicview.Position{Era: j.era, Offset: j.first}, topicview.Position{Era: j.era, Offset: uint64(len(j.records))}, j.err
}

func (j *journal) Read(_ context.Context, _ int, from topicview.Position) (values [][]byte, next, end topicview.Position, err error) {
	j.reads++
	if from.Era != j.era || from.Offset < j.first || from.Offset > uint64(len(j.records)) {
		return nil, next, end, fmt.Errorf("reading: %w", adapter.ErrOffsetExpired)
	}
	n := min(len(j.records), int(from.Offset)+j.pageSize)
	at := func(offset int) topicview.Position { return topicview.Position{Era: j.era, Offset: uint64(offset)} }
	return j.records[from.Offset:n], at(n), at(len(j.records)), j.err
}

func newOriginLog(j *journal) (*OriginLog, map[uint64]message.StreamOrigin) {
	known := map[uint64]message.StreamOrigin{}
	return &OriginLog{Name: "n1", Journal: j, Now: time.Now, Merge: func(origins message.StreamOrigins) {
		for _, o := range origins.Origins {
			known[o.Request] = o
		}
	}}, known
}

// TestRead checks that all origins are read over several pages, past records that can't be
// decoded, and again from the begin once the log has come back from a copy.
func TestRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		j := &journal{era: 1, pageSize: 2}
		l, known := newOriginLog(j)
		ctx := context.Background()
		for n := range uint64(5) {
			is.NoErr(l.Write(ctx, message.StreamOrigins{Origins: []message.StreamOrigin{{Request: 2 * n, Service: "llm", Version: "v1"}, {Request: 2*n + 1, Service: "llm", Version: "v2"}}}))
		}
		j.records = append(j.records, []byte("garbage"), nil)
		is.NoErr(l.Read(ctx, time.Now(), time.Minute, 9))
		is.Equal(len(known), 10)
		is.Equal(known[3], message.StreamOrigin{Request: 3, Service: "llm", Version: "v2"})
		j.era, j.records = 2, nil
		is.NoErr(l.Write(ctx, message.StreamOrigins{Origins: []message.StreamOrigin{{Request: 77, Service: "llm", Version: "v2"}}}))
		time.Sleep(time.Second)
		is.NoErr(l.Read(ctx, time.Now(), time.Minute, 9))
		is.Equal(known[77].Version, "v2")
	})
}

// TestReadIsShared checks that callers that wait at the same time share a read, so that the
// calls don't grow with the resumed streams.
func TestReadIsShared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		j := &journal{era: 1, pageSize: 2}
		l, _ := newOriginLog(j)
		for range 100 {
			go func() { _ = l.Read(context.Background(), time.Now(), time.Minute, 9) }()
		}
		synctest.Wait()
		time.Sleep(time.Minute)
		is.True(j.reads <= 2)
	})
}

// maxRecord is the largest record that the log takes, in bytes.
const maxRecord = 256 << 10

// TestUnverified checks that origins that hold for one incarnation of a replica are read as
// they were written, and that the largest batch fits a record.
func TestUnverified(t *testing.T) {
	is := is.New(t)
	j := &journal{era: 1, pageSize: 2}
	l, _ := newOriginLog(j)
	known := map[uint64]message.UnverifiedOrigin{}
	l.Merge = func(origins message.StreamOrigins) {
		for _, u := range origins.Unverified {
			known[u.Request] = u
		}
	}
	var batch message.StreamOrigins
	for n := range uint64(MaxBatch) {
		replica := fmt.Sprintf("i-replica-with-a-long-id-%d", n%400)
		batch.Unverified = append(batch.Unverified, message.UnverifiedOrigin{
			StreamOrigin: message.StreamOrigin{Request: 1<<63 + n, Service: "llm", Version: "v1"}, Replica: replica, Incarnation: 1 << 40,
		})
	}
	is.NoErr(l.Write(context.Background(), batch))
	is.True(len(j.records[0]) < maxRecord)
	is.NoErr(l.Read(context.Background(), time.Now(), time.Minute, 9))
	is.Equal(len(known), MaxBatch)
	is.Equal(known[1<<63+401], batch.Unverified[401])
}

// TestUnverifiedVersions checks that two processes of a replica that started at the same time
// with different software are kept apart.
func TestUnverifiedVersions(t *testing.T) {
	is := is.New(t)
	j := &journal{era: 1, pageSize: 2}
	l, _ := newOriginLog(j)
	versions := map[uint64]string{}
	l.Merge = func(origins message.StreamOrigins) {
		for _, u := range origins.Unverified {
			versions[u.Request] = u.Version
		}
	}
	var batch message.StreamOrigins
	for n, version := range []string{"v1", "v2"} {
		batch.Unverified = append(batch.Unverified, message.UnverifiedOrigin{
			StreamOrigin: message.StreamOrigin{Request: uint64(n), Service: "llm", Version: version}, Replica: "r1", Incarnation: 1,
		})
	}
	is.NoErr(l.Write(context.Background(), batch))
	is.NoErr(l.Read(context.Background(), time.Now(), time.Minute, 9))
	is.Equal(versions, map[uint64]string{0: "v1", 1: "v2"})
}
