package canary

import (
	"time"

	"crocusfold.dev/core/topicview"
)

// Order asks that the requests of a service move to the replicas of a software version.
// The caller has checked it: Service and Target aren't empty, Duration is positive.
type Order struct {
	Service string `cbor:"1,keyasint"`
	// Target is the software version that the service is to run on.
	Target string `cbor:"2,keyasint"`
	// Duration is the time from the order to its deadline.
	Duration time.Duration `cbor:"3,keyasint"`
	// Position is that of the order's record in the operators' topic.
	Position topicview.Position `cbor:"4,keyasint"`
}

// Bounds has what is promised for each rollout, as the deployment's parameters state it.
type Bounds struct {
	// Share is the largest part of the requests of a service that a bad target may get
	// (exposeShare), and Slack the requests that it may get beyond that (exposureSlack).
	// All instances together keep both.
	Share, Slack float64
	// Rollback is the longest time from the 50th bad response until the last request to a
	// bad target (rollbackMs).
	Rollback time.Duration
	// Instances is the number of known instances, this one included, which share Slack.
	// Values below 1 count as 1.
	Instances int
}

// The values of Status.State. The platform's names for them are up to the caller.
const (
	Serving    = "serving"
	Completed  = "completed"
	RolledBack = "rolled-back"
)

// Status is what the system records of a rollout, and reads again after a restart. The
// zero value is that of a service for which nothing is recorded.
type Status struct {
	// State is one of the constants above, Target that of the order.
	State, Target string
	// Position is that of the order's record that began the attempt if State is Serving,
	// else that of the newest record of the order that the state covers. It may be zero if
	// the record doesn't have it; then the status is that of the present order.
	Position topicview.Position
	// Base is the version that gets the requests which the target doesn't get. It is empty
	// if it is not known.
	Base string
	// Withdrawn lists the targets that were rolled back since the service last changed its
	// Base, the newest last. Their replicas get no request.
	Withdrawn []string
	// Start is when the order was first seen, by the clock of the instance that recorded
	// the status; zero if that is not known. It counts only after the loss of all instances.
	Start time.Time
}

// Process is one process of an instance.
type Process struct {
	Instance string `cbor:"1,keyasint"`
	// Number differs between the processes that an instance has had.
	Number uint64 `cbor:"2,keyasint"`
}

// Phase is how far a rollout is. The phases are passed in this order.
type Phase int

const (
	// Idle: there is no order, or its service has no target to move to yet.
	Idle Phase = iota
	// Watching: the target gets a small share.
	Watching
	// Moving: the share rises in steps to all requests.
	Moving
	// Settling: nothing more is sent to old replicas, and their running requests end.
	Settling
	// Done: the status is Completed.
	Done
	// Withdrawn: the status is RolledBack.
	Withdrawn
)

func (p Phase) String() string {
	return [...]string{"idle", "watching", "moving", "settling", "completed", "rolled-back"}[p]
}
