package canary

import "time"

// Versions says on which software versions a request may run.
type Versions struct {
	// Only is the one version that it may run on. If it is empty, all versions are allowed
	// that Except doesn't list.
	Only   string
	Except []string
}

// Choice is the decision on one attempt of a request.
type Choice struct {
	// Allowed is false if the request may run on no version. Why has the reason.
	Allowed  bool
	Why      string
	Versions Versions
	// Target is true if the request may run on the target only. It then counts as sent
	// there until Unsent says that it was not.
	Target bool
	// Replicas is the number of the target's replicas that may get such a request, the
	// first ones of an order that all instances use; 0 allows all.
	Replicas int
	// Rollout identifies the rollout of the choice at this instance; 0 if there is none.
	Rollout uint64
}

// Choose decides where the first attempt of a request of a route may run, and counts it
// as one request of the service. now is the present time.
func (c *Canary) Choose(now time.Time, route string) Choice {
	return c.choose(now, true, true)
}

// Again decides where a further attempt of a request may run. The request was counted by
// Choose. If only one version is possible since a part of the response was sent, use
// Resume.
func (c *Canary) Again(now time.Time, route string) Choice {
	return c.choose(now, false, true)
}

// Old decides where a request may run that was chosen for the target but found no
// replica there, after Unsent. It never allows the target while old replicas are allowed.
func (c *Canary) Old(now time.Time, route string) Choice {
	return c.choose(now, false, false)
}

// Resume decides whether a response that version began may go on there, and counts it
// against the exposure if that is the target. A response of a rolled back version is
// refused, and no response goes on at another version.
func (c *Canary) Resume(now time.Time, route, version string) Choice {
	if !c.known {
		return Choice{Why: "the orders are not known yet"}
	}
	for _, v := range c.withdrawn {
		if v == version {
			return Choice{Why: "version " + version + " was rolled back"}
		}
	}
	ch := Choice{Allowed: true, Versions: Versions{Only: version}, Rollout: c.rollout}
	if c.phase(now) != Idle && version == c.order.Target {
		ch.Target = true
		c.balance--
	}
	return ch
}

// Unsent says that no replica got the request of a choice, so that it is not counted as
// sent to the target.
func (c *Canary) Unsent(now time.Time, ch Choice) {
	if ch.Target && ch.Rollout == c.rollout {
		c.balance++
	}
}

func (c *Canary) choose(now time.Time, first, target bool) Choice {
	if !c.known {
		return Choice{Why: "the orders are not known yet"}
	}
	ch := Choice{Allowed: true, Rollout: c.rollout}
	phase := c.phase(now)
	if first && phase != Idle {
		c.balance += c.Bounds.Share
		c.due += c.share(now)
	}
	bound := phase == Moving || phase == Settling || c.balance-1 >= -c.Bounds.Slack/float64(max(c.Bounds.Instances, 1))
	switch {
	case phase == Done || phase == Settling:
		ch.Target = true
	case phase == Watching || phase == Moving:
		ch.Target = target && c.due >= 1 && bound
	}
	if ch.Target {
		c.due--
		c.balance--
		ch.Versions.Only = c.order.Target
		return ch
	}
	ch.Versions = c.oldVersions(phase)
	return ch
}

// oldVersions returns the versions of requests that are not for the target.
func (c *Canary) oldVersions(phase Phase) Versions {
	if c.base != "" {
		return Versions{Only: c.base}
	}
	except := c.withdrawn
	if phase != Idle {
		except = append(except[:len(except):len(except)], c.order.Target)
	}
	return Versions{Except: except}
}
