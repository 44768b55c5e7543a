package dispatch

import (
	"cmp"
	"slices"
	"time"
)

// sortForRelief sorts the backfill runs on h by what their stop costs per utilisation of the service
// t that it frees, the cheapest first. It answers services whose load rises beside backfill runs:
// the stop of a run that its job waits for makes the job late.
func (s *Shard) sortForRelief(backfills []*task, t *task, h *host) {
	costs := make(map[*task]float64, len(backfills))
	for _, b := range backfills {
		costs[b] = min(mostUrgent, max(leastUrgent, s.urgency(b))) / max(minAdded, s.addedUtilisation(b, t, h))
	}
	slices.SortStableFunc(backfills, func(a, b *task) int { return cmp.Compare(costs[a], costs[b]) })
}

const (
	// reliefWait is how long relief waits for a run that ends by itself, rather than stop it.
	reliefWait = 300 * time.Millisecond
	// leastUrgent and mostUrgent bound the urgency of runs, so that of two runs the one that disturbs
	// the service four times as much is stopped, whatever their jobs.
	leastUrgent, mostUrgent = 0.5, 2
)

// minAdded bounds the utilisation that a backfill run adds from below, where it divides.
const minAdded = 0.005

// urgency is how much the caller of t loses when its run is delayed.
func (s *Shard) urgency(t *task) float64 {
	c := s.setUrgency(&candidate{tasks: []*task{t}}, t.job, t.id.Occurrence, t.id.Step, queueOf(s.cfg.Config(), t.job))
	return s.orderJob(c).Urgency()
}

// recentlyRelieved reports whether a new backfill run on h would take the headroom that was just made
// there for a service, before it shows in the readings.
func (h *host) recentlyRelieved(now time.Duration) bool {
	return h.relievedAt > 0 && now-h.relievedAt < 2*settleTime
}
