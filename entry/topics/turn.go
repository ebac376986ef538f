package topics

import (
	"time"

	"crocusfold.dev/entry/adapter"
)

// shouldRead decides whether this instance reads a topic now, and how long the read
// waits for news. The readers read all topics; the others read only what their
// peers do not bring in time, and then at once.
func (t *Topics) shouldRead(now time.Time, topic adapter.Topic) (read bool, wait time.Duration) {
	if t.IsReader(now) {
		return true, readWaits[topic]
	}
	alone := t.Isolated()
	t.mu.Lock()
	defer t.mu.Unlock()
	f := &t.views[topic]
	age := now.Sub(t.startedAt)
	switch {
	case topic == adapter.Instances:
		return !f.Loaded() && t.instancesRequested || alone && age > peerViewsWait && !f.Current(now, instancesWait), 0
	case !f.Loaded():
		return age > peerViewsWait, 0
	case topic == adapter.Operations:
		return !f.Current(now, maxProofAge), 0
	}
	return !f.Current(now, t.maxReplicasAge()), 0
}

// RequestInstances has the list of instances read once, also if this instance is no
// reader.
func (t *Topics) RequestInstances() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.instancesRequested = true
}

// pause returns the time until a topic is looked at again.
func (t *Topics) pause(topic adapter.Topic) time.Duration {
	now := t.Now()
	if t.IsReader(now) {
		if topic == adapter.Replicas {
			return replicasReadInterval
		}
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	proof := t.views[topic].Proof()
	if !t.views[topic].Loaded() && topic != adapter.Instances {
		return minCheckInterval
	}
	switch topic {
	case adapter.Operations:
		return clampCheckInterval(proof.Add(maxProofAge).Sub(now))
	case adapter.Replicas:
		return clampCheckInterval(proof.Add(t.maxReplicasAge()).Sub(now))
	}
	return instancesCheckInterval
}

// maxReplicasAge is the age of the list of replicas from which a follower reads it.
func (t *Topics) maxReplicasAge() time.Duration { return t.Bounds.Bounds().Drain - replicasMargin }

// clampCheckInterval bounds the pause between two looks at a followed topic.
func clampCheckInterval(d time.Duration) time.Duration {
	return max(minCheckInterval, min(d, maxCheckInterval))
}
