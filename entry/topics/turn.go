package topics

import (
	"time"

	"crocusfold.dev/entry/adapter"
)

// turn decides whether this instance reads a topic now, and how long the read
// waits for news. The readers read all topics; the others read only what their
// peers do not bring in time, and then at once.
func (t *Topics) turn(now time.Time, topic adapter.Topic) (read bool, wait time.Duration) {
	if t.Reads(now) {
		return true, waits[topic]
	}
	alone := t.Alone()
	t.mu.Lock()
	defer t.mu.Unlock()
	f := &t.feeds[topic]
	age := now.Sub(t.started)
	switch {
	case topic == adapter.Instances:
		return !f.Loaded() && t.wanted || alone && age > firstLoad && !f.Current(now, instancesWait), 0
	case !f.Loaded():
		return age > firstLoad, 0
	case topic == adapter.Operations:
		return !f.Current(now, provenLimit), 0
	}
	return !f.Current(now, t.followedLimit()), 0
}

// WantInstances has the list of instances read once, also if this instance is no
// reader.
func (t *Topics) WantInstances() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.wanted = true
}

// pause returns the time until a topic is looked at again.
func (t *Topics) pause(topic adapter.Topic) time.Duration {
	now := t.Now()
	if t.Reads(now) {
		if topic == adapter.Replicas {
			return upstreamsEvery
		}
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	proof := t.feeds[topic].Proof()
	if !t.feeds[topic].Loaded() && topic != adapter.Instances {
		return followedShortest
	}
	switch topic {
	case adapter.Operations:
		return inRange(proof.Add(provenLimit).Sub(now))
	case adapter.Replicas:
		return inRange(proof.Add(t.followedLimit()).Sub(now))
	}
	return instancesCheck
}

// followedLimit is the age of the list of replicas from which a follower reads it.
func (t *Topics) followedLimit() time.Duration { return t.Bounds.Bounds().Drain - followedMargin }

// inRange bounds the pause between two looks at a followed topic.
func inRange(d time.Duration) time.Duration {
	return max(followedShortest, min(d, followedLongest))
}
