package placement

import "skylarkport/internal/job"

// rackSpread spreads the replicas of a service or watch over racks and workers.
type rackSpread struct{}

const (
	rackWeight   = 1.0 // per replica in the rack
	workerWeight = 4.0 // per replica on the worker
	crowdWeight  = 0.5 // per other service run on the worker
)

func (rackSpread) score(c *cycle, n *node, t *candidate) float64 {
	if t.p.Spec.Kind == job.Batch {
		return 0
	}
	same, others := replicasOn(n, t.p.Task.Job)
	score := rackWeight*float64(c.replicas(t.p.Task.Job)[n.w.Rack]) + workerWeight*float64(same)
	if t.p.Spec.Kind == job.Service {
		score += crowdWeight * float64(others)
	}
	return score
}

// replicasOn counts the job's runs on n, and the runs of other services.
func replicasOn(n *node, id string) (same, others int) {
	for _, r := range n.w.Runs {
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

// replicas returns the job's runs by rack.
func (c *cycle) replicas(id string) map[string]int {
	if c.racks == nil {
		c.racks = map[string]map[string]int{}
	}
	m := c.racks[id]
	if m != nil {
		return m
	}
	m = map[string]int{}
	c.racks[id] = m
	for _, n := range c.nodes {
		for _, r := range n.w.Runs {
			if !r.Stopping && r.ID.Task.Job == id {
				m[n.w.Rack]++
			}
		}
	}
	return m
}

func (c *cycle) countReplica(n *node, s *job.Spec) {
	if s.Kind != job.Batch {
		c.replicas(s.ID)[n.w.Rack]++
	}
}
