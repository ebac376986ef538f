// Package statedlimit holds the limit on requests that a replica states in its responses,
// and merges the statements that several instances have observed.
package statedlimit

import (
	"math"
	"time"
)

const (
	// refreshInterval is how often a limit that has not changed much is passed on to peers.
	refreshInterval = 2 * time.Second
	// urgentShare is the share by which a rate must differ from the one last passed on to
	// be passed on at once.
	urgentShare = 0.1
)

// Statement is what one response of a replica stated.
type Statement struct {
	// Limited is false if the response stated no limit.
	Limited bool
	// Rate is the limit in requests per second from all instances together.
	Rate float64
	// SentAt is when the request was sent, and ReceivedAt when the response began. The
	// replica made the statement in between.
	SentAt, ReceivedAt time.Time
}

// Change is the result of Apply.
type Change int

// The results of Apply.
const (
	// None means that there is nothing to pass on yet.
	None Change = iota
	// Updated means that the statement is passed on with the next message to each peer.
	Updated
	// Urgent means that it is passed on at once.
	Urgent
)

// Limit is the newest statement of a replica. The zero value has none. It is not safe for
// concurrent use.
type Limit struct {
	Statement
	// ChangedAt is when the statement was last passed on to peers.
	ChangedAt time.Time
	// sentRate is the rate that was passed on then.
	sentRate float64
}

// Known reports whether the replica has stated a limit, even if that has ended.
func (l *Limit) Known() bool { return !l.ReceivedAt.IsZero() }

// Apply merges a statement. Responses can overtake each other, so that the order of two
// statements is known only if one request was sent after the other response had begun.
// Where it is not known, the stricter statement holds.
func (l *Limit) Apply(now time.Time, s Statement) Change {
	if !l.Known() && !s.Limited {
		return None
	}
	follows := !l.Known() || !s.SentAt.Before(l.ReceivedAt)
	overlaps := s.ReceivedAt.After(l.SentAt)
	stricter := s.Limited && (!l.Limited || s.Rate < l.Rate)
	repeated := s.Limited == l.Limited && (!s.Limited || s.Rate == l.Rate)
	if !follows && !(overlaps && stricter) && !repeated {
		return None
	}
	wasLimited := l.Limited
	s.SentAt, s.ReceivedAt = later(s.SentAt, l.SentAt), later(s.ReceivedAt, l.ReceivedAt)
	l.Statement = s
	change := None
	switch {
	case s.Limited != wasLimited, s.Limited && math.Abs(s.Rate-l.sentRate) > l.sentRate*urgentShare:
		change = Urgent
	case s.Limited && now.Sub(l.ChangedAt) >= refreshInterval:
		// Peers need the newer time even of an unchanged limit, so that they don't take an
		// earlier response without one for its end.
		change = Updated
	}
	if change != None {
		l.ChangedAt, l.sentRate = now, s.Rate
	}
	return change
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
