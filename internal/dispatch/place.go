package dispatch

import (
	"cmp"
	"slices"
	"time"

	"skylarkport/internal/colocation"
	"skylarkport/internal/contract/fleet"
	"skylarkport/internal/resource"
	"skylarkport/internal/workload"
)

// slot is the capacity of a host that is left during one planning pass.
type slot struct {
	host      *host
	free      resource.Vector // not reserved by runs
	releasing resource.Vector // reserved by runs that are being stopped
	idleCPU   int64           // CPU that is not expected to be used, in thousandths of a core
	services  int             // number of services, that is, runs with a tail latency target
	suspects  int             // runs that have not outlived their start and whose last worker was lost in theirs
	crashed   int             // runs whose earlier workers crashed
	probation *job            // job of one that must be the only start, nil for none
	// maxBackfillShare caches the fraction of the host's CPU that one more backfill run may use.
	maxBackfillShare map[backfillKey]float64
	headrooms        [colocation.MaxHorizon][]imageHeadroom // by seconds from now, less one; computed on demand
	outlook          *outlook                               // nil without reservations
}

// slots returns the hosts that accept new runs, ordered by id.
func (s *Shard) slots(now time.Duration) []*slot {
	var out []*slot
	for _, h := range s.hosts {
		if !s.mayPlaceOn(h, now) {
			if h.busyUntil > now {
				s.replanAt(h.busyUntil)
			}
			if h.quarantinedUntil > now {
				s.replanAt(h.quarantinedUntil)
			}
			continue
		}
		sl := &slot{host: h, free: h.free(), idleCPU: h.Capacity.MilliCPU - h.usedCPU(), maxBackfillShare: map[backfillKey]float64{}}
		for _, t := range h.tasks {
			if t.isService() {
				sl.services++
			}
			sl.countSuspect(t)
			if t.stopWanted && t.stage != stageUnconfirmed {
				sl.releasing = sl.releasing.Add(t.step.Committed())
			}
		}
		out = append(out, sl)
	}
	slices.SortFunc(out, func(a, b *slot) int { return cmp.Compare(a.host.ID, b.host.ID) })
	return out
}

// mayPlaceOn reports whether new runs may be placed on h and get a lease.
func (s *Shard) mayPlaceOn(h *host, now time.Duration) bool {
	return h.acceptsRuns(now) && !s.publishedExpiries[h.ID] && s.capacityKnown(h, now) && s.zones.allows(h.Zone, now)
}

// capacityKnown reports whether a start that fits the known capacity of h and the known runs there
// cannot exceed what h has, or whether h rejects it then.
func (s *Shard) capacityKnown(h *host, now time.Duration) bool {
	if cfg := s.cfg.Config(); cfg != nil {
		if service := cfg.ServiceByName(h.Service); service != nil && service.ChecksCapacity {
			return true
		}
	}
	return !h.hasUnknownRuns && !s.registryStale(now)
}

// stillFits reports whether t, which is placed on h, still fits beside the other runs there: its
// capacity may have shrunk since the placement.
func (h *host) stillFits(t *task) bool {
	need := t.step.Committed()
	return need.Fits(h.free().Add(need))
}

// filter reports whether a host is eligible for a task.
type filter func(t *task, q *fleet.Queue, sl *slot) bool

// filters must all pass: those of the worker's traits, and those of its present runs. They ignore the
// capacity in use, which capacityFits checks after them.
var filters = append(placementFilters(traitFilters), spreadFits, probationFits, adviceAllows, lateStartAllows)

// placementFilters returns the trait filters as filters of a placement.
func placementFilters(list []traitFilter) []filter {
	var out []filter
	for _, f := range list {
		out = append(out, func(t *task, q *fleet.Queue, sl *slot) bool {
			return q != nil && f(t.step, q.Service, sl.host.traits())
		})
	}
	return out
}

// spreadFits limits the tasks of a step on one worker.
func spreadFits(t *task, _ *fleet.Queue, sl *slot) bool {
	if t.step.MaxPerWorker == 0 {
		return true
	}
	n := 0
	for _, o := range sl.host.tasks {
		if o.origin.Job == t.origin.Job && o.origin.Occurrence == t.origin.Occurrence && o.origin.Step == t.origin.Step {
			n++
		}
	}
	return n < t.step.MaxPerWorker
}

// capacityFits reports whether the free capacity suffices for t.
func capacityFits(t *task, sl *slot) bool { return t.step.Committed().Fits(sl.free) }

// scorer returns the cost of placing a task on a host. The host with the lowest sum of
// costs is chosen.
type scorer func(t *task, sl *slot, p *planPass) float64

// scorers are added up. A cost of 1 is what an entirely reserved host costs by loadCost.
var scorers = []scorer{loadCost, dataLocalityCost, failedWorkerCost, colocationCost, suspectCost, coldWorkerCost, fragmentationCost}

// loadCost spreads runs over the hosts, but packs services together: a host without
// services is open to every backfill run.
func loadCost(t *task, sl *slot, _ *planPass) float64 {
	if sl.host.Capacity.MilliCPU == 0 {
		return 1
	}
	total := float64(sl.host.Capacity.MilliCPU)
	switch {
	case t.isService():
		return float64(sl.free.MilliCPU) / total
	case t.step.Backfill:
		return 1 - float64(sl.idleCPU)/total
	}
	return 1 - float64(sl.free.MilliCPU)/total
}

// dataLocalityCost keeps a task in the rack of its data: elsewhere it takes several times
// as long.
func dataLocalityCost(t *task, sl *slot, _ *planPass) float64 {
	if t.step.Rack == "" || t.step.Rack == sl.host.Rack {
		return 0
	}
	return 4
}

// failedWorkerCost avoids the workers on which runs of the task or its gang failed.
func failedWorkerCost(t *task, sl *slot, _ *planPass) float64 {
	if !t.avoids(sl.host.ID) {
		return 0
	}
	return 3
}

// colocationCost separates backfill runs from services that they would disturb, groups
// services by image, so that few pairs of images share a host, and keeps other tasks off
// the hosts without services, which are open to every backfill run.
func colocationCost(t *task, sl *slot, p *planPass) float64 {
	switch {
	case t.step.Backfill:
		return p.backfillCost(t, sl)
	case t.isService():
		return serviceImageCost(t, sl)
	case !t.step.Backfill && sl.services == 0:
		return openHostCost / 2
	}
	return 0
}

// serviceImageCost is lowest on a host where all services have the same image as t.
func serviceImageCost(t *task, sl *slot) float64 {
	if sl.services == 0 {
		return openHostCost
	}
	others := 0
	for _, image := range sl.host.serviceImages() {
		if image != t.step.Image {
			others++
		}
	}
	return otherImageCost * float64(others)
}

const (
	// contentionCost is the cost of a host that every waiting backfill image could use.
	// Such hosts are left to the images that fit nowhere else.
	contentionCost = 0.8
	// interferenceCost is the cost per utilisation that a backfill run adds to a service,
	// so that runs go where they disturb least.
	interferenceCost = 3.0
	// openHostCost keeps hosts without services free for backfill runs.
	openHostCost = 1.2
	// otherImageCost exceeds openHostCost, so that a service rather takes a host without
	// services than joins another image: each service image on a host excludes the backfill
	// images that disturb it.
	otherImageCost = 2.5
)

// planPass is one planning pass over the slots. If a backfill task finds no slot, later ones
// of the same image that are at least as large are not tried at full speed in the pass.
type planPass struct {
	s                     *Shard
	now                   time.Duration
	slots                 []*slot
	backfillImages        []string        // of the waiting backfill tasks
	halfReserved          bool            // at least half of the CPU is reserved
	probations            int             // workers on probation
	lowInterferenceOnly   bool            // place only backfill tasks that add little utilisation to services
	reserved, maxReserved int             // reservations of the pass, and how many there may be
	largest               resource.Vector // needs of the largest task that waits, zero for none
	// unplaceable holds, by image, the needs of the last backfill task that found no slot.
	unplaceable map[string]resource.Vector
}

// newPlanPass prepares a pass over the hosts that accept runs.
func (s *Shard) newPlanPass(startable []*candidate, now time.Duration) *planPass {
	p := &planPass{s: s, now: now, slots: s.slots(now), unplaceable: map[string]resource.Vector{}}
	var free, total int64
	for _, sl := range p.slots {
		free += sl.free.MilliCPU
		total += sl.host.Capacity.MilliCPU
		if sl.probation != nil {
			p.probations++
		}
	}
	p.halfReserved = 2*free <= total
	if s.cfg.Features.Reservations {
		p.lookAhead(startable)
	}
	for _, c := range startable {
		if c.step().Backfill && !slices.Contains(p.backfillImages, c.step().Image) {
			p.backfillImages = append(p.backfillImages, c.step().Image)
		}
	}
	return p
}

// placeCandidate places the tasks of c, or leaves them waiting. Where the queue requires approved
// workers, it seeks the adviser's approval of further ones for those that wait.
func (p *planPass) placeCandidate(c *candidate, q *fleet.Queue) {
	p.placeTasks(c, q, p.s.tickets(c.first(), q, p.now))
	if !p.s.isAdvised(q) || p.lowInterferenceOnly && c.step().Backfill {
		return
	}
	waits := slices.IndexFunc(c.tasks, func(t *task) bool { return t.Phase == workload.Pending })
	if waits >= 0 {
		p.s.seekAdvice(c.tasks[waits], q, p.slots, p.now)
	}
}

// placeTasks places the tasks of c, on workers with a ticket if tickets are needed, or stops runs of lower
// priority for them.
func (p *planPass) placeTasks(c *candidate, q *fleet.Queue, tickets map[string]string) {
	if c.step().Gang {
		p.placeGang(c, q, tickets)
		return
	}
	if unplaceable, ok := p.unplaceable[c.step().Image]; ok && c.step().Backfill && unplaceable.Fits(c.step().Needs) {
		p.placeWithCPULimit(c.first(), q, tickets)
		return
	}
	for _, t := range c.tasks {
		t.waitReason = waitBehind
	}
	for _, t := range c.tasks {
		if t.Phase != workload.Pending {
			continue // placed by the low-interference pass
		}
		if t.onProbation() && p.probations >= maxProbations(len(p.slots)) {
			continue // it is placed once another one has outlived its start
		}
		if !p.s.mayPlaceMore(t.job) {
			t.waitReason = waitRow
			return
		}
		sl := p.bestSlot(t, q, p.slots, "", tickets)
		if sl == nil {
			p.handleUnplaced(c, t, q, tickets)
			if t.onProbation() || t.boundTo != "" {
				continue // the others have more workers to choose from
			}
			return
		}
		t.ticket = tickets[sl.host.ID]
		sl.reserve(t)
		if t.onProbation() {
			p.probations++
		}
		sl.host.place(t, p.now)
	}
}

// handleUnplaced handles t, the first task of c that found no slot. A backfill task may be
// started with a CPU limit; for any other task that needs no approved worker, runs of lower
// priority may be stopped.
func (p *planPass) handleUnplaced(c *candidate, t *task, q *fleet.Queue, tickets map[string]string) {
	if t.step.Backfill {
		if len(t.failedOn) == 0 && !t.onProbation() && tickets == nil {
			p.unplaceable[t.step.Image] = t.step.Needs
		}
		p.placeWithCPULimit(t, q, tickets)
		return
	}
	if tickets == nil {
		p.preempt(c, t, q)
	}
}

// bestSlot returns the eligible slot with the lowest cost for t, or nil. It is limited to a
// rack and to the workers with a ticket, where these are given.
func (p *planPass) bestSlot(t *task, q *fleet.Queue, slots []*slot, rack string, tickets map[string]string) *slot {
	var found *slot
	lowest := 0.0
	for _, sl := range slots {
		if rack != "" && sl.host.Rack != rack {
			continue
		}
		if tickets != nil && tickets[sl.host.ID] == "" {
			continue
		}
		if !canPlace(t, q, sl) || !p.keepsReservation(t, sl) || t.step.Backfill && !p.backfillFits(t, sl) {
			continue
		}
		cost := 0.0
		for _, f := range scorers {
			cost += f(t, sl, p)
		}
		if found == nil || cost < lowest {
			found, lowest = sl, cost
		}
	}
	return found
}

// canPlace reports whether t can be placed on the slot now.
func canPlace(t *task, q *fleet.Queue, sl *slot) bool {
	return isEligible(t, q, sl) && capacityFits(t, sl)
}

// isEligible reports whether the slot passes all filters for t, whatever its free capacity.
func isEligible(t *task, q *fleet.Queue, sl *slot) bool {
	for _, f := range filters {
		if !f(t, q, sl) {
			return false
		}
	}
	return true
}

// countSuspect counts t if it is a suspect.
func (sl *slot) countSuspect(t *task) {
	if t.suspect() {
		sl.suspects++
	}
	if t.Crashes.Total > 0 {
		sl.crashed++
	}
	if t.onProbation() {
		sl.probation = t.job
	}
}

// reserve subtracts the needs of t from the slot.
func (sl *slot) reserve(t *task) {
	sl.free = sl.free.Sub(t.step.Committed())
	sl.idleCPU -= t.step.Needs.MilliCPU
	if sl.outlook != nil {
		sl.outlook.hold.take(t)
	}
	if t.isService() {
		sl.services++
	}
	sl.countSuspect(t)
	if t.isService() || t.step.Backfill {
		clear(sl.maxBackfillShare)
		clear(sl.headrooms[:])
	}
}
