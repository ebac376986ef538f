package peering

import (
	"time"

	"crocusfold.dev/core/grantors"
	"crocusfold.dev/core/limitgroup"
	"crocusfold.dev/core/membership"
)

// LimitGroup returns the group of the instances that share limits: the members that may
// still send requests, and the instances listed within listedTTL that are not known as
// members.
func (pg *Peering) LimitGroup(now time.Time) limitgroup.Group {
	sharers := pg.members.LimitSharers(now)
	for address, since := range pg.listed {
		if _, known := pg.members.Member(address); !known && now.Sub(since) < listedTTL {
			sharers = append(sharers, address)
		}
	}
	return limitgroup.New(pg.self.Address, sharers)
}

// Grantors returns the instances that grant requests within limits: the members with
// status Alive, and this instance unless it has just started or has left.
func (pg *Peering) Grantors(now time.Time) grantors.Grantors {
	alive, all := pg.members.Responsive()
	for address, since := range pg.listed {
		if _, known := pg.members.Member(address); !known && now.Sub(since) < listedTTL {
			all++
		}
	}
	if pg.members.Self.Status == membership.Alive {
		all++
		if now.Sub(pg.startedAt) >= grantDelay {
			alive = append(alive, pg.self.Address)
		}
	}
	return grantors.New(pg.self.Address, alive, all)
}
