package placement

import "skylarkport/internal/job"

// rackSpread prefers racks and workers with few replicas of the same service or
// watch, and for services also workers with few other services.
type rackSpread struct{}

// The weights of rackSpread are added to a worker's score, of which the lowest
// wins.
const (
	rackWeight         = 1.0 // per replica in the rack
	workerWeight       = 4.0 // per replica on the worker
	otherServiceWeight = 0.5 // per other service run on the worker
)

func (rackSpread) score(c *cycle, n *node, t *candidate) float64 {
	if t.pending.Spec.Kind == job.Batch {
		return 0
	}
	same, others := replicasOn(n, t.pending.Task.Job)
	score := rackWeight*float64(c.replicasPerRack(t.pending.Task.Job)[n.worker.Rack]) + workerWeight*float64(same)
	if t.pending.Spec.Kind == job.Service {
		score += otherServiceWeight * float64(others)
	}
	return score
}

// replicasOn returns the number of the job's runs on n, and of runs of other
// services. Stopping runs are not counted; tasks placed in this cycle are.
func replicasOn(n *node, id string) (same, others int) {
	for _, r := range n.worker.Runs {
		switch {
		case r.Stopping:
		case r.ID.Task.Job == id:
			same++
		case r.Spec.Kind == job.Service:
			others++
		}
	}
	for _, p := range n.placed {
		switch {
		case p.Task.Job == id:
			same++
		case p.Spec.Kind == job.Service:
			others++
		}
	}
	return same, others
}

// replicasPerRack returns the number of the job's runs in each rack.
func (c *cycle) replicasPerRack(id string) map[string]int {
	if c.replicasByRack == nil {
		c.replicasByRack = map[string]map[string]int{}
	}
	m := c.replicasByRack[id]
	if m != nil {
		return m
	}
	m = map[string]int{}
	c.replicasByRack[id] = m
	for _, n := range c.nodes {
		for _, r := range n.worker.Runs {
			if !r.Stopping && r.ID.Task.Job == id {
				m[n.worker.Rack]++
			}
		}
	}
	return m
}

// countReplicaInRack adds a replica of s that was placed on n in this cycle to the count
// of n's rack. Batch jobs are not spread over racks and not counted.
func (c *cycle) countReplicaInRack(n *node, s *job.Spec) {
	if s.Kind != job.Batch {
		c.replicasPerRack(s.ID)[n.worker.Rack]++
	}
}
