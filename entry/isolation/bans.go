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

// syncInterval is the pause between two comparisons of the bans with a peer. Outcomes
// are sent to all peers at once; the comparison repairs the instances that missed one.
const syncInterval = 2 * time.Second

// Run compares the bans with those of one random peer at a time until ctx ends.
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

// syncBans merges the bans of a peer if they differ from those here. Nothing is done if
// the peer does not respond, since each peer is sampled again later.
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

// bansFor returns the bans in force, or none if the peer's digest shows that it has the
// same ones.
func (i *Isolation) bansFor(now time.Time, m message.BansRequest) message.Bans {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.quarantine.Digest(now) == m.Digest {
		return message.Bans{}
	}
	return message.Bans{Bans: i.quarantine.Bans(now)}
}
