package topics

import (
	"context"
	"time"

	"crocusfold.dev/entry/adapter"
)

// shouldRead reports whether this instance reads a topic now, and how long the read
// waits for new records. A reader reads all topics. Another instance reads a topic only
// if the records from its peers are missing or not fresh, and does not wait. It reads
// the list of instances only if it is isolated, or once if RequestInstances was called.
func (t *Topics) shouldRead(now time.Time, topic adapter.Topic) (read bool, wait time.Duration) {
	if t.IsReader(now) {
		return true, t.readerWait(now, topic)
	}
	isolated := t.Isolated()
	t.mu.Lock()
	defer t.mu.Unlock()
	view := &t.views[topic]
	age := now.Sub(t.startedAt)
	switch {
	case topic == adapter.Instances:
		return !view.Loaded() && t.instancesRequested || isolated && age > peerViewsWait && !view.Current(now, instancesWait), 0
	case !view.Loaded():
		return age > peerViewsWait, 0
	case topic == adapter.Operations:
		return !view.Current(now, maxProofAge), 0
	}
	return !view.Current(now, t.maxReplicasAge()), 0
}

// readerWait returns how long a reader's read of a topic waits for new records. After a
// restore of the log, the first read of the operators' records that proves them complete
// is sent without delay.
func (t *Topics) readerWait(now time.Time, topic adapter.Topic) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	wait := readWaits[topic]
	if topic == adapter.Operations && !t.restore.covers(t.views[topic].Proof()) {
		// Reads wait for whole milliseconds. A shorter wait would be none, so that reads follow
		// one another without a pause until the time is over.
		wait = min(wait, roundUp(t.restore.settlesIn(now), time.Millisecond))
	}
	return wait
}

// roundUp returns d as a multiple of unit, rounded up.
func roundUp(d, unit time.Duration) time.Duration { return (d + unit - 1) / unit * unit }

// RequestInstances makes this instance read the list of instances once, even if it is
// not a reader.
func (t *Topics) RequestInstances() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.instancesRequested = true
}

// ReadInstances reads the list of instances to its end. It returns an error if this instance
// can't reach the log.
func (t *Topics) ReadInstances(ctx context.Context) error {
	return t.read(ctx, adapter.Instances, t.Now(), 0)
}

// pause returns the time until shouldRead is to be called again for a topic.
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

// maxReplicasAge returns the age of the list of replicas from which an instance that is
// not a reader reads it itself.
func (t *Topics) maxReplicasAge() time.Duration { return t.Bounds.Bounds().Drain - replicasMargin }

// clampCheckInterval limits a pause to the range from minCheckInterval to
// maxCheckInterval.
func clampCheckInterval(d time.Duration) time.Duration {
	return max(minCheckInterval, min(d, maxCheckInterval))
}
