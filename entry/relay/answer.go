package relay

import "crocusfold.dev/entry/replicas"

// boundAnswer sets when the response is due and its expected length, by which a replica is
// chosen where requests compete for replicas.
func (c *call) boundAnswer(req *replicas.PlacementRequest) {
	req.Deadline = c.deadline
	if c.route.TargetLatency > 0 {
		req.Target = c.began.Add(c.route.TargetLatency)
	}
	if c.service.Engine != nil {
		req.Events, req.Stride = c.info.EstimateOutput(), c.service.Engine.Stride
	}
}
