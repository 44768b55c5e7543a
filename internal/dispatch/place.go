package dispatch

import (
	"cmp"
	"slices"
	"time"

	"skylarkport/internal/contract/fleet"
	"skylarkport/internal/resource"
	"skylarkport/internal/workload"
)

// slot is the room of a host during one plan.
type slot struct {
	host   *host
	free   resource.Vector
	coming resource.Vector // of runs that are being stopped
	idle   int64           // processors that nothing is expected to use, in thousandths
	serves int             // runs with a tail target
	// bearable is the share of the processors that one more run of a filling
	// image may use; it is worked out when asked for.
	bearable map[string]float64
	heads    []headroomOf // of its serving runs, worked out when asked for
}

// slots returns the hosts that take new runs.
func (s *Shard) slots(now time.Duration) []*slot {
	var out []*slot
	for _, h := range s.hosts {
		if !h.takes(now) || s.noted[h.ID] {
			if h.busyUntil > now {
				s.later(h.busyUntil)
			}
			if h.quarantine > now {
				s.later(h.quarantine)
			}
			continue
		}
		sl := &slot{host: h, free: h.free(), idle: h.Capacity.MilliCPU - h.usedCPU(), bearable: map[string]float64{}}
		for _, t := range h.tasks {
			if t.serving() {
				sl.serves++
			}
			if t.stopWanted && t.stage != stageDoubt {
				sl.coming = sl.coming.Add(t.step.Committed())
			}
		}
		out = append(out, sl)
	}
	slices.SortFunc(out, func(a, b *slot) int { return cmp.Compare(a.host.ID, b.host.ID) })
	return out
}

// filter reports whether a host may ever run a task of the step.
type filter func(t *task, q *fleet.Queue, sl *slot) bool

// filters are applied in this order; all have to pass. They judge the host whatever
// runs on it now; roomFits is applied after them.
var filters = []filter{serviceFits, labelFits, apartFits}

// serviceFits keeps to the workers of the queue's service.
func serviceFits(_ *task, q *fleet.Queue, sl *slot) bool {
	return q != nil && sl.host.Service == q.Service
}

// labelFits keeps to the workers with the required label.
func labelFits(t *task, _ *fleet.Queue, sl *slot) bool {
	return t.step.Label == "" || slices.Contains(sl.host.Labels, t.step.Label)
}

// apartFits keeps to the most tasks of a step on one worker.
func apartFits(t *task, _ *fleet.Queue, sl *slot) bool {
	if t.step.MaxPerWorker == 0 {
		return true
	}
	n := 0
	for _, o := range sl.host.tasks {
		if o.job == t.job && o.id.Occurrence == t.id.Occurrence && o.id.Step == t.id.Step {
			n++
		}
	}
	return n < t.step.MaxPerWorker
}

// roomFits keeps to the room that is left.
func roomFits(t *task, sl *slot) bool { return t.step.Committed().Fits(sl.free) }

// scorer prices a host for a task; the lowest sum wins.
type scorer func(t *task, sl *slot, p *pass) float64

// scorers are the prices, in units of a whole host's load.
var scorers = []scorer{loadPrice, distancePrice, failedPrice, apartPrice}

// loadPrice spreads runs over the hosts, but gathers lasting runs: hosts without
// any are open to every run that fills.
func loadPrice(t *task, sl *slot, _ *pass) float64 {
	if sl.host.Capacity.MilliCPU == 0 {
		return 1
	}
	whole := float64(sl.host.Capacity.MilliCPU)
	switch {
	case t.serving():
		return float64(sl.free.MilliCPU) / whole
	case t.step.Fills:
		return 1 - float64(sl.idle)/whole
	}
	return 1 - float64(sl.free.MilliCPU)/whole
}

// distancePrice keeps a task near its data: away from it, it takes several
// times as long.
func distancePrice(t *task, sl *slot, _ *pass) float64 {
	if t.step.Rack == "" || t.step.Rack == sl.host.Rack {
		return 0
	}
	return 4
}

// failedPrice avoids the worker on which the last run failed.
func failedPrice(t *task, sl *slot, _ *pass) float64 {
	if t.avoid != sl.host.ID {
		return 0
	}
	return 3
}

// apartPrice keeps runs that fill apart from runs with a tail target, gathers
// the latter by image, so that a host has few pairs of images, and keeps others
// from the hosts that are open to every run that fills.
func apartPrice(t *task, sl *slot, p *pass) float64 {
	switch {
	case t.step.Fills:
		return p.fillPrice(t, sl)
	case t.serving():
		return imagesPrice(t, sl)
	case !t.step.Fills && sl.serves == 0:
		return openHost / 2
	}
	return 0
}

// imagesPrice is lowest on a host that serves the same image alone.
func imagesPrice(t *task, sl *slot) float64 {
	if sl.serves == 0 {
		return openHost
	}
	others := 0
	for _, image := range sl.host.servingImages() {
		if image != t.step.Image {
			others++
		}
	}
	return otherImage * float64(others)
}

const (
	// wantedPrice is the price of a host that every waiting filling image could
	// use: such hosts are left to those that have no other.
	wantedPrice = 0.8
	// strainPrice is the price of the utilisation that a filling run adds to a
	// serving one: what presses little goes first.
	strainPrice = 3.0
	// openHost keeps hosts without serving runs open.
	openHost = 1.2
	// otherImage is more than a new host costs: each image on a host excludes
	// the filling images that disturb it.
	otherImage = 2.5
)

// pass is one plan over the slots. What could not be placed is not tried again
// in the same pass.
type pass struct {
	s      *Shard
	now    time.Duration
	slots  []*slot
	images []string // of the filling runs that wait
	busy   bool     // half of the processors or more are committed
	gentle bool     // only filling runs that press little on those that serve
	// full holds, per filling image, the smallest needs that found no slot.
	full map[string]resource.Vector
}

func (s *Shard) newPass(ready []*candidate, now time.Duration) *pass {
	p := &pass{s: s, now: now, slots: s.slots(now), full: map[string]resource.Vector{}}
	var free, whole int64
	for _, sl := range p.slots {
		free += sl.free.MilliCPU
		whole += sl.host.Capacity.MilliCPU
	}
	p.busy = 2*free <= whole
	for _, c := range ready {
		if c.step().Fills && !slices.Contains(p.images, c.step().Image) {
			p.images = append(p.images, c.step().Image)
		}
	}
	return p
}

// placeCandidate places the tasks of c, frees room for them, or leaves them
// waiting.
func (p *pass) placeCandidate(c *candidate, q *fleet.Queue) {
	var tickets map[string]string
	if q.Advice != nil && p.s.cfg.Adviser != nil {
		var ok bool
		if tickets, ok = p.s.tickets(c.first(), q, p.slots, p.now); !ok {
			return
		}
	}
	if c.step().Gang {
		p.placeGang(c, q, tickets)
		return
	}
	if full, ok := p.full[c.step().Image]; ok && c.step().Fills && full.Fits(c.step().Needs) {
		p.squeeze(c.first(), q)
		return
	}
	for _, t := range c.tasks {
		if t.Phase != workload.Pending {
			continue // placed by the gentle run
		}
		sl := p.best(t, q, p.slots, "", tickets)
		if sl == nil {
			p.unplaced(c, t, q, tickets)
			return
		}
		t.ticket = tickets[sl.host.ID]
		sl.take(t)
		sl.host.place(t, p.now)
	}
}

// unplaced notes that t, and so the rest of c, found no slot.
func (p *pass) unplaced(c *candidate, t *task, q *fleet.Queue, tickets map[string]string) {
	if t.step.Fills {
		if t.avoid == "" {
			p.full[t.step.Image] = t.step.Needs
		}
		p.squeeze(t, q)
		return
	}
	if tickets == nil {
		p.preempt(c, t, q)
	}
}

// best returns the slot for t, or nil.
func (p *pass) best(t *task, q *fleet.Queue, slots []*slot, rack string, tickets map[string]string) *slot {
	var found *slot
	lowest := 0.0
	for _, sl := range slots {
		if rack != "" && sl.host.Rack != rack {
			continue
		}
		if tickets != nil && tickets[sl.host.ID] == "" {
			continue
		}
		if !passes(t, q, sl) || t.step.Fills && !p.mayFill(t, sl) {
			continue
		}
		price := 0.0
		for _, f := range scorers {
			price += f(t, sl, p)
		}
		if found == nil || price < lowest {
			found, lowest = sl, price
		}
	}
	return found
}

// passes reports whether the slot may take t now.
func passes(t *task, q *fleet.Queue, sl *slot) bool { return suits(t, q, sl) && roomFits(t, sl) }

// suits reports whether the slot may take t once it has room.
func suits(t *task, q *fleet.Queue, sl *slot) bool {
	for _, f := range filters {
		if !f(t, q, sl) {
			return false
		}
	}
	return true
}

// take accounts for t on the slot.
func (sl *slot) take(t *task) {
	sl.free = sl.free.Sub(t.step.Committed())
	sl.idle -= t.step.Needs.MilliCPU
	if t.serving() {
		sl.serves++
	}
	if t.serving() || t.step.Fills {
		clear(sl.bearable)
		sl.heads = nil
	}
}
