package relay

import (
	"strings"
	"time"

	"crocusfold.dev/core/crashbreaker"
	"crocusfold.dev/core/quarantine"
	"crocusfold.dev/entry/replicas"
)

// fingerprint returns the hash of the request's account, method, URI, shared parts of the
// prompt and body. Requests with different ids have the same fingerprint if these are
// equal.
func (c *call) fingerprint() quarantine.Fingerprint {
	if c.fp == (quarantine.Fingerprint{}) {
		text := c.account.Name + "\x00" + c.r.Method + "\x00" + c.r.RequestURI + "\x00"
		for _, p := range c.info.SharedParts() {
			text += p.ID + "\x00"
		}
		c.fp = quarantine.NewFingerprint(append([][]byte{[]byte(text)}, c.body.Segments...)...)
	}
	return c.fp
}

// partFingerprints returns the fingerprints of the shared parts of the prompt, which the size of
// a head bounds.
func (c *call) partFingerprints() []quarantine.Fingerprint {
	parts := c.info.SharedParts()
	if c.partFPs == nil {
		c.partFPs = make([]quarantine.Fingerprint, 0, len(parts))
		const prefix = "part\x00"
		text := []byte(prefix)
		for _, p := range parts {
			text = append(text[:len(prefix)], p.ID...)
			c.partFPs = append(c.partFPs, quarantine.NewFingerprint(text))
		}
	}
	return c.partFPs
}

// fingerprints returns the fingerprint of the whole request and those of its parts.
func (c *call) fingerprints() []quarantine.Fingerprint {
	return append([]quarantine.Fingerprint{c.fingerprint()}, c.partFingerprints()...)
}

// partID returns the id of the part with a fingerprint.
func (c *call) partID(fp quarantine.Fingerprint) string {
	for i, part := range c.partFingerprints() {
		if part == fp {
			return c.info.Parts[i].ID
		}
	}
	return ""
}

// maxLoggedParts bounds the parts of a prompt in a log line.
const maxLoggedParts = 8

// runInfo returns what the log says of the request if its replica crashes.
func (c *call) runInfo() runInfo {
	var ids []string
	for _, p := range c.info.SharedParts()[:min(maxLoggedParts, len(c.info.SharedParts()))] {
		ids = append(ids, p.ID)
	}
	return runInfo{c.info.ID, strings.Join(ids, ","), c.summary.events}
}

// run returns the run of the request that was sent to a replica at sentAt.
func (c *call) run(pl *replicas.Placement, sentAt time.Time) crashbreaker.Run {
	run := crashbreaker.Run{Fingerprint: c.fingerprint(), Replica: pl.ID, Incarnation: pl.Incarnation, SentAt: sentAt}
	if !c.answered {
		run.Parts = c.partFingerprints()
	}
	return run
}
