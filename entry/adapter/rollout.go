package adapter

import (
	"time"

	"crocusfold.dev/core/canary"
)

// RolloutOrder orders that the requests of a service move to the replicas of a software
// version within a time. An order that is written again has another position.
type RolloutOrder = canary.Order

// RolloutStatus is the recorded status of the rollout of a service, which the leader writes.
type RolloutStatus struct {
	Service string
	canary.Status
	// Deadline is the end of the rollout on the wall clock; zero if it is not stated.
	Deadline time.Time
}

// FencingToken identifies a write of a producer. Writes of an epoch are numbered from 0.
type FencingToken struct {
	Producer   string
	Epoch, Seq uint64
}
