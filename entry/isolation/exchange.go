package isolation

import (
	"context"
	"math/rand/v2"
	"time"

	"crocusfold.dev/core/roster"
	"crocusfold.dev/entry/message"
	"crocusfold.dev/entry/peerrpc"
	"crocusfold.dev/shell/clock"
)

// syncInterval is the pause between two comparisons with a peer. A strike is told
// to all peers when it is counted; comparing finds those that missed it.
const syncInterval = 2 * time.Second

// Run compares the convictions with those of a peer at a time until ctx ends.
func (i *Isolation) Run(ctx context.Context) {
	for {
		clock.Pause(ctx, syncInterval)
		if ctx.Err() != nil {
			return
		}
		var peers []roster.Member
		for _, m := range i.Follower.Live(time.Now()) {
			if m.Name != i.Self.Name {
				peers = append(peers, m)
			}
		}
		if len(peers) > 0 {
			i.syncBans(ctx, peers[rand.IntN(len(peers))])
		}
	}
}

// syncBans asks a peer for its convictions if they differ. A peer that does not
// answer is asked again some time, as all are.
func (i *Isolation) syncBans(ctx context.Context, peer roster.Member) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	i.mu.Lock()
	req := message.BansRequest{Digest: i.quarantine.Digest(time.Now())}
	i.mu.Unlock()
	resp, err := peerrpc.Call[message.Bans](ctx, i.Endpoint, peer, req)
	if err != nil {
		return
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	i.quarantine.Merge(time.Now(), resp.Bans)
}

// bansFor answers a peer; it is empty if the peer knows the same.
func (i *Isolation) bansFor(now time.Time, m message.BansRequest) message.Bans {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.quarantine.Digest(now) == m.Digest {
		return message.Bans{}
	}
	return message.Bans{Bans: i.quarantine.Bans(now)}
}
