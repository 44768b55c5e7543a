package dispatch

import (
	"slices"
	"time"

	"skylarkport/internal/contract/fleet"
	"skylarkport/internal/workload"
)

// placeGang places all members of a gang or none. A gang that is slower when spread over
// racks is tried in each single rack first.
func (p *planPass) placeGang(c *candidate, q *fleet.Queue, tickets map[string]string) {
	racks := []string{""}
	if c.step().OneRack {
		racks = append(racksOf(p.slots), "")
	}
	for _, rack := range racks {
		if chosen := p.gangSlots(c, q, rack, tickets); chosen != nil {
			startGang(c, chosen, tickets, p.now)
			return
		}
	}
}

// racksOf returns the racks of the slots in sorted order.
func racksOf(slots []*slot) []string {
	var out []string
	for _, sl := range slots {
		if !slices.Contains(out, sl.host.Rack) {
			out = append(out, sl.host.Rack)
		}
	}
	slices.Sort(out)
	return out
}

// gangSlots returns a slot for each waiting member, or nil if they do not all fit. It
// reserves capacity on copies of the slots, so that a failed attempt changes nothing.
func (p *planPass) gangSlots(c *candidate, q *fleet.Queue, rack string, tickets map[string]string) []*slot {
	trial := make([]*slot, len(p.slots))
	origin := make(map[*slot]*slot, len(p.slots))
	for i, sl := range p.slots {
		dup := *sl
		dup.maxBackfillShare = map[backfillKey]float64{}
		dup.outlook = sl.outlook.clone()
		trial[i], origin[&dup] = &dup, sl
	}
	var chosen []*slot
	growth := 0 // of the job's row, in bytes
	perHost := map[*slot]int{}
	for _, t := range c.tasks {
		if t.Phase != workload.Pending {
			continue // placed by the low-interference pass
		}
		sl := p.bestSlot(t, q, trial, rack, tickets)
		if sl == nil {
			return nil
		}
		growth += placementBytes + len(sl.host.ID)
		sl.reserve(t)
		perHost[sl]++
		chosen = append(chosen, origin[sl])
		if limit := t.step.MaxPerWorker; limit > 0 && perHost[sl] >= limit {
			trial = slices.DeleteFunc(trial, func(o *slot) bool { return o == sl })
		}
	}
	if !p.s.rowHasRoom(c.job, growth) {
		c.first().waitReason = waitRow
		return nil
	}
	return chosen
}

// startGang places the members on the chosen slots. All share one run number, above that of
// any earlier run, and the first checkpoint found among them.
func startGang(c *candidate, chosen []*slot, tickets map[string]string, now time.Duration) {
	run, checkpoint := 0, ""
	for _, t := range c.tasks {
		run = max(run, t.Run)
		if checkpoint == "" {
			checkpoint = t.Checkpoint
		}
	}
	for i, t := range c.tasks {
		t.Run, t.Checkpoint = run, checkpoint
		t.ticket = tickets[chosen[i].host.ID]
		chosen[i].reserve(t)
		chosen[i].host.place(t, now)
	}
}
