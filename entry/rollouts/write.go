package rollouts

import (
	"context"
	"errors"
	"time"

	"crocusfold.dev/core/canary"
	"crocusfold.dev/entry/adapter"
)

// producer identifies the writes of the status to the log.
const producer = "rollout"

const (
	// retryPause is the pause after a failed write.
	retryPause = 200 * time.Millisecond
	// confirmTimeout bounds the read of the recorded status by a new leader.
	confirmTimeout = time.Second
	// maxSequence is the sequence number from which the writer begins again at 0 if the log
	// keeps refusing it. The log may expect any number if a write was applied whose response
	// was lost.
	maxSequence = 64
)

// writer is the state of the writes of the leader.
type writer struct {
	// epoch is the fencing token of the writes, and seq the number of the next one.
	epoch, seq uint64
	// confirmed is true once the recorded status was read in this epoch.
	confirmed bool
	notBefore time.Time
	// failure is the error of the last write, empty if it succeeded.
	failure string
}

// write is one status to write.
type write struct {
	status adapter.RolloutStatus
	why    string
}

// writeDue writes the status of the rollouts that is due, if this instance is the leader.
func (ro *Rollouts) writeDue(ctx context.Context) {
	if !ro.enabled() {
		return
	}
	now := ro.Now()
	token, leads := ro.Token(now)
	ro.mu.Lock()
	if !leads || now.Before(ro.writer.notBefore) {
		ro.mu.Unlock()
		return
	}
	if ro.writer.epoch != token {
		ro.writer = writer{epoch: token}
	}
	confirmed := ro.writer.confirmed || !ro.mayWrite()
	var due []write
	if confirmed {
		due = ro.due(now)
	}
	ro.mu.Unlock()
	if !confirmed {
		// The previous leader may have recorded a status that has not been received.
		ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
		defer cancel()
		err := ro.Topics.ReadInstances(ctx)
		ro.mu.Lock()
		ro.writer.confirmed = err == nil
		if err != nil {
			ro.writer.notBefore = now.Add(retryPause)
		}
		ro.mu.Unlock()
		// What is due follows from the next step.
		return
	}
	for _, w := range due {
		if !ro.put(ctx, w) {
			return
		}
	}
}

// mayWrite reports whether a service may have a status to write. The caller holds the lock.
func (ro *Rollouts) mayWrite() bool {
	for _, s := range ro.services {
		if s.order != nil || s.recorded.State == canary.Serving || s.rewrite {
			return true
		}
	}
	return false
}

// due returns the writes that are due. The caller holds the lock.
func (ro *Rollouts) due(now time.Time) []write {
	var out []write
	for name, s := range ro.services {
		if !s.known || s.changed {
			continue
		}
		if w, ok := s.canary.Due(now); ok {
			status := adapter.RolloutStatus{Service: name, Status: w.Status}
			if sum := s.canary.Summary(now); sum.Order.Target == w.Status.Target {
				status.Deadline = time.Now().Add(sum.Order.Duration - sum.Age)
			}
			out = append(out, write{status, w.Why})
			continue
		}
		if s.rewrite {
			out = append(out, write{s.recorded, "the log may have lost it"})
		}
	}
	return out
}

// put writes one status, and reports whether that succeeded.
func (ro *Rollouts) put(ctx context.Context, w write) bool {
	key, value, err := ro.Decoder.EncodeRolloutStatus(w.status)
	if err != nil {
		_ = ro.Logger.Log("msg", "The status of a rollout can't be encoded.", "service", w.status.Service, "err", err)
		return false
	}
	ro.mu.Lock()
	token := adapter.FencingToken{Producer: producer, Epoch: ro.writer.epoch, Seq: ro.writer.seq}
	ro.mu.Unlock()
	if current, leads := ro.Token(ro.Now()); !leads || current != token.Epoch {
		return false
	}
	err = ro.Log.PutFenced(ctx, key, value, token)
	ro.mu.Lock()
	defer ro.mu.Unlock()
	ro.logWrite(w, token, err)
	switch {
	case err == nil:
		ro.writer.seq = token.Seq + 1
		s := ro.service(w.status.Service)
		s.recorded, s.recordedAt, s.changed, s.rewrite = w.status, ro.Now(), true, false
		return true
	case errors.Is(err, adapter.ErrSequence):
		// An earlier write may have been applied although it seemed to fail.
		if ro.writer.seq = token.Seq + 1; ro.writer.seq >= maxSequence {
			ro.writer.seq = 0
		}
	default:
		ro.writer.notBefore = ro.Now().Add(retryPause)
	}
	return false
}

// logWrite logs a write that succeeded, or a failure that differs from the last one: while the
// log does not respond, each attempt fails in the same way. The caller holds the lock.
func (ro *Rollouts) logWrite(w write, token adapter.FencingToken, err error) {
	if err == nil {
		ro.writer.failure = ""
		_ = ro.Logger.Log("msg", "Wrote the status of a rollout.", "service", w.status.Service, "target", w.status.Target, "state", w.status.State,
			"why", w.why, "epoch", token.Epoch, "seq", token.Seq)
		return
	}
	if err.Error() == ro.writer.failure {
		return
	}
	ro.writer.failure = err.Error()
	_ = ro.Logger.Log("msg", "Writing the status of a rollout failed.", "service", w.status.Service, "target", w.status.Target, "state", w.status.State,
		"epoch", token.Epoch, "seq", token.Seq, "err", err)
}
