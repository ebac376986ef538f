package strikes

import (
	"context"
	"math/rand/v2"
	"time"

	"crocusfold.dev/core/roster"
	"crocusfold.dev/entry/message"
	"crocusfold.dev/entry/peerrpc"
	"crocusfold.dev/shell/clock"
)

// exchangeEvery is the pause between two comparisons with a peer. A strike is told
// to all peers when it is counted; comparing finds those that missed it.
const exchangeEvery = 2 * time.Second

// Run compares the convictions with those of a peer at a time until ctx ends.
func (s *Strikes) Run(ctx context.Context) {
	for {
		clock.Pause(ctx, exchangeEvery)
		if ctx.Err() != nil {
			return
		}
		var peers []roster.Member
		for _, m := range s.Follow.Live(time.Now()) {
			if m.Name != s.Self.Name {
				peers = append(peers, m)
			}
		}
		if len(peers) > 0 {
			s.compare(ctx, peers[rand.IntN(len(peers))])
		}
	}
}

// compare asks a peer for its convictions if they differ. A peer that does not
// answer is asked again some time, as all are.
func (s *Strikes) compare(ctx context.Context, peer roster.Member) {
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	s.mu.Lock()
	ask := message.BansRequest{Digest: s.list.Digest(time.Now())}
	s.mu.Unlock()
	ans, err := peerrpc.Call[message.Bans](ctx, s.Mesh, peer, ask)
	if err != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.list.Merge(time.Now(), ans.Bans)
}

// convictions answers a peer; it is empty if the peer knows the same.
func (s *Strikes) convictions(now time.Time, m message.BansRequest) message.Bans {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.list.Digest(now) == m.Digest {
		return message.Bans{}
	}
	return message.Bans{Bans: s.list.Bans(now)}
}
