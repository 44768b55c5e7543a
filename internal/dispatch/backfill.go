package dispatch

import (
	"time"

	"skylarkport/internal/colocation"
	"skylarkport/internal/contract/fleet"
)

const (
	// throttledStartAfter is how long a job may have no run, because its backfill tasks fit
	// nowhere, before one is placed with a CPU limit. The platform counts work as lost when
	// it has had no run for three seconds although there was capacity.
	throttledStartAfter = 1200 * time.Millisecond
	// minCPULimit is the lowest CPU limit of a throttled run, in percent of full speed.
	minCPULimit = 10
)

// placeWithCPULimit places one run with a CPU limit for a job that has had no run for
// throttledStartAfter, on the host where it disturbs services least. It slows the services
// by more than the run gains, so it is done only while less than half of the CPU is committed.
func (p *planPass) placeWithCPULimit(t *task, q *fleet.Queue, tickets map[string]string) {
	if p.lowInterferenceOnly || p.now-t.pendingSince < throttledStartAfter || p.halfReserved || t.job.placed() > 0 || !p.s.mayPlaceMore(t.job) {
		return
	}
	var found *slot
	maxMargin := 0.0
	for _, sl := range p.slots {
		if !canPlace(t, q, sl) || t.avoids(sl.host.ID) || tickets != nil && tickets[sl.host.ID] == "" {
			continue
		}
		margin := 2 + p.maxBackfillShare(t, sl)/cpuShare(t, sl.host) - p.s.maxAddedUtilisation(t, sl.host)
		if found == nil || margin > maxMargin {
			found, maxMargin = sl, margin
		}
	}
	if found == nil {
		return
	}
	limit := int(100 * p.maxBackfillShare(t, found) / cpuShare(t, found.host))
	t.ticket = tickets[found.host.ID]
	found.reserve(t)
	found.host.place(t, p.now)
	t.startCPULimit = min(100, max(minCPULimit, limit))
}

// backfillMemoryReserve is the fraction of a worker's memory that backfill runs leave free
// for other tasks, which arrive at any time and are short.
const backfillMemoryReserve = 0.08

// backfillFits reports whether the backfill task t fits on sl: into CPU that is idle and
// memory beyond the reserve, and without bringing a service there over its latency target.
func (p *planPass) backfillFits(t *task, sl *slot) bool {
	reserved := int64(backfillMemoryReserve * float64(sl.host.Capacity.MemoryMB))
	if sl.idleCPU < t.step.Needs.MilliCPU || sl.free.MemoryMB-reserved < t.step.Needs.MemoryMB {
		return false
	}
	if sl.services == 0 {
		return true
	}
	if p.s.cfg.Features.Order && sl.host.recentlyRelieved(p.now) {
		return false
	}
	if p.lowInterferenceOnly && p.s.maxAddedUtilisation(t, sl.host) > lowInterference {
		return false
	}
	return cpuShare(t, sl.host) <= p.maxBackfillShare(t, sl)
}

// lowInterference is the most utilisation that a run may add to a service in the first,
// low-interference pass. Runs that add more wait until all runs that add less had their
// choice of hosts.
const lowInterference = 0.12

// backfillKey names what backfill runs have in common that a host has the same capacity for.
type backfillKey struct {
	image   string
	seconds int // that they last, as far as loads are predicted
}

func (p *planPass) backfillKey(t *task) backfillKey {
	left := float64(p.s.expectedDuration(t)) * (1 - t.saved())
	return backfillKey{t.step.Image, min(colocation.MaxHorizon, 1+int(left/float64(time.Second)))}
}

// maxBackfillShare returns the fraction of sl's CPU that one more backfill run like that of t may use.
func (p *planPass) maxBackfillShare(t *task, sl *slot) float64 {
	return p.maxShare(p.backfillKey(t), sl)
}

func (p *planPass) maxShare(k backfillKey, sl *slot) float64 {
	if sl.services == 0 {
		return 1
	}
	maxShare, ok := sl.maxBackfillShare[k]
	if !ok {
		headrooms := &sl.headrooms[k.seconds-1]
		if *headrooms == nil {
			*headrooms = p.s.headrooms(sl.host, p.now, k.seconds)
		}
		maxShare = p.s.maxShareFor(k.image, *headrooms)
		sl.maxBackfillShare[k] = maxShare
	}
	return maxShare
}

// backfillCost prefers hosts that few other waiting images can use, and hosts whose
// services t disturbs little.
func (p *planPass) backfillCost(t *task, sl *slot) float64 {
	usableBy := 0
	seconds := p.backfillKey(t).seconds
	for _, image := range p.backfillImages {
		if p.maxShare(backfillKey{image, seconds}, sl) > 0 {
			usableBy++
		}
	}
	cost := contentionCost * float64(usableBy) / float64(max(1, len(p.backfillImages)))
	if p.s.cfg.Features.Order && sl.services > 0 {
		cost += headroomCost * min(1, cpuShare(t, sl.host)/max(minAdded, p.maxBackfillShare(t, sl)))
	}
	return cost + interferenceCost*p.s.maxAddedUtilisation(t, sl.host)
}

// headroomCost is the cost of a host whose services t would leave no headroom. The less headroom
// they have, the sooner a rise of their load stops t.
const headroomCost = 1.0
