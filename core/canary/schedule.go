package canary

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Times of a rollout as fractions of its duration.
const (
	// moveAt is when moving begins by default. The requests of the old version then have a
	// quarter of the duration to end, and a fault that shows at once when moving begins has
	// used less than the bound (TestSchedule).
	moveAt = 0.65
	// earliestMove is when moving may begin if the requests of the old version need longer.
	// Before, there would be less evidence than a fault of one response in ten needs.
	earliestMove = 0.5
	// doubtTime is by how much moving is put off while the evidence is doubtful.
	doubtTime = 0.1
	// stepTime is how long each step of moving takes, within minStep and maxStep, and
	// maxStepTime a limit for durations of a few seconds.
	stepTime    = 0.06
	maxStepTime = 0.08
	// settleBy is when settling begins at the latest, unless the target is bad.
	settleBy = 0.88
	// boostAt is when the load of the target's replicas is raised, and boostTime for how
	// long, up to maxBoostTime.
	boostAt   = 0.3
	boostTime = 0.08
)

const (
	minStep = 400 * time.Millisecond
	maxStep = 5 * time.Second
	// pulsePeriod is the time between two pulses of the share. Four fit into the time of
	// watching of a rollout of 12 s.
	pulsePeriod  = 2 * time.Second
	maxBoostTime = 5 * time.Second
	// turnTime is how long a replica of the target is in use for watching. One faulty
	// replica is told from a bad version by the others, so two must have had their turns
	// well before the rollback time.
	turnTime = 2500 * time.Millisecond
	// completeBefore is how long before its deadline a rollout is completed at the latest:
	// the time in which the status is written, read and acted on.
	completeBefore = 400 * time.Millisecond
	// silentAfter is how long after the last state heard from a peer an instance sends
	// nothing more to a target that may still turn out bad, or silentPart of the rollback
	// time if that is shorter. Peers call each other every 160 to 400 ms (core/peering).
	silentAfter = 2 * time.Second
	silentPart  = 0.4

	// watchShare is the part of the exposure bound that watching uses.
	watchShare = 0.37
	// boost is by how much more load than usual the target's replicas get for a time.
	boost = 1.5
)

// moveShares are the shares of the steps of moving.
var moveShares = [...]float64{0.25, 0.5}

// stage says under which share a response was sent. Only responses of the same stage are
// compared.
type stage uint8

const (
	stageWatch stage = iota
	stageBoost
	stageMove // and one for each further step of moving
)

const (
	stageAll = stageMove + stage(len(moveShares))
	// stageNone is that of times in which the target gets nothing.
	stageNone stage = 1<<stageBits - 1
	stageBits       = 4
)

// part returns a fraction of the duration.
func (a *attempt) part(f float64) time.Duration {
	return time.Duration(f * float64(a.order.Duration))
}

// step returns how long each step of moving takes.
func (a *attempt) step() time.Duration {
	return min(max(a.part(stepTime), minStep), a.part(maxStepTime), maxStep)
}

// load is the target's part of the requests at one time.
type load struct {
	share float64
	// replicas is the number of the target's replicas that get it; 0 for all.
	replicas int
	stage    stage
}

// loadAt returns the load of the target at now.
func (a *attempt) loadAt(now time.Time, b Bounds) load {
	age := now.Sub(a.start)
	switch phase := a.phase(); {
	case phase == Settling || phase == Done:
		return load{1, 0, stageAll}
	case phase != Watching && phase != Moving || a.targetReplicas == 0 || age >= a.order.Duration:
		return load{0, 0, stageNone}
	case phase == Watching:
		return a.watchLoad(age, b)
	}
	i := min(max(int(now.Sub(a.phaseStart)/a.step()), 0), len(moveShares)-1)
	return load{moveShares[i], a.replicasFor(moveShares[i]), stageMove + stage(i)}
}

// replicasFor returns how many replicas of the target carry at least the load of an old
// replica if they get a share of the requests; 0 if that is all of them or more.
func (a *attempt) replicasFor(share float64) int {
	n := max(1, int(share/(1-share)*float64(a.oldReplicas)))
	if n >= a.targetReplicas {
		return 0
	}
	return n
}

// watchLoad returns the load while watching. If the share is too small for one replica to
// carry the load of an old one, it comes in pulses that are as large as that takes, with
// the same share on average.
func (a *attempt) watchLoad(age time.Duration, b Bounds) load {
	mean := watchShare * b.Share
	l := load{mean, a.replicasFor(mean), stageWatch}
	if single := 1 / float64(1+max(a.oldReplicas, 1)); single > mean {
		l.share = single
		if age%pulsePeriod < time.Duration((1-mean/single)*float64(pulsePeriod)) {
			return load{0, 0, stageNone}
		}
	}
	if in := age - a.part(boostAt); in >= 0 && in < min(a.part(boostTime), maxBoostTime) {
		l.share, l.stage = min(boost*l.share, 0.5), stageBoost
	}
	return l
}

// Rank orders the target's replicas for Choice.Replicas: those with the lowest rank are the
// first ones. All instances get about the same order, which changes every turnTime. replica
// is the name of the replica.
func (c *Canary) Rank(now time.Time, replica string) uint64 {
	turn := uint64(0)
	if a := c.attempt; a != nil {
		turn = uint64(now.Sub(a.start) / turnTime)
	}
	var b [64]byte
	return xxhash.Sum64(append(binary.BigEndian.AppendUint64(b[:0], turn), replica...))
}
