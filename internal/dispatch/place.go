package dispatch

import (
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
	slices.SortFunc(out, func(a, b *slot) int { return compareID(a.host, b.host) })
	return out
}

func compareID(a, b *host) int {
	if a.ID < b.ID {
		return -1
	}
	return 1
}

// filter reports whether a host may ever run a task of the step.
type filter func(t *task, q *fleet.Queue, sl *slot) bool

// filters are applied in this order; all have to pass.
var filters = []filter{serviceFits, labelFits, apartFits, roomFits}

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
func roomFits(t *task, _ *fleet.Queue, sl *slot) bool { return t.step.Committed().Fits(sl.free) }

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

// fillPrice prefers hosts that few other waiting images can use and serving runs
// that t presses little.
func (p *pass) fillPrice(t *task, sl *slot) float64 {
	wanted := 0
	for _, image := range p.images {
		if p.bearable(image, sl) > 0 {
			wanted++
		}
	}
	price := wantedPrice * float64(wanted) / float64(max(1, len(p.images)))
	return price + strainPrice*p.s.images.worstStrain(t, sl.host)
}

// imagesPrice is lowest on a host that serves the same image alone.
func imagesPrice(t *task, sl *slot) float64 {
	if sl.serves == 0 {
		return openHost
	}
	others := map[string]bool{}
	for _, o := range sl.host.tasks {
		if o.serving() && o.step.Image != t.step.Image {
			others[o.step.Image] = true
		}
	}
	return otherImage * float64(len(others))
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

const (
	// squeezeAfter is how long a job whose filling runs fit nowhere has nothing
	// running until one is placed and slowed. The platform holds three seconds
	// without a run, with room, for lost work.
	squeezeAfter = 1200 * time.Millisecond
	// leastPace is the least share of full speed, in percent, of a squeezed run.
	leastPace = 10
)

// squeeze places one slowed run of a job that has had nothing running for a
// while, where it presses least. It costs the serving runs more than it gains,
// so it is kept for times with little else to do.
func (p *pass) squeeze(t *task, q *fleet.Queue) {
	if p.gentle || p.now-t.readyAt < squeezeAfter || p.busy || t.job.placed() > 0 {
		return
	}
	var found *slot
	most := 0.0
	for _, sl := range p.slots {
		if !passes(t, q, sl) || sl.host.ID == t.avoid {
			continue
		}
		room := 2 + p.bearable(t.step.Image, sl)/share(t, sl.host) - p.s.images.worstStrain(t, sl.host)
		if found == nil || room > most {
			found, most = sl, room
		}
	}
	if found == nil {
		return
	}
	pace := int(100 * p.bearable(t.step.Image, found) / share(t, found.host))
	found.take(t)
	found.host.place(t, p.now)
	t.startPace = min(100, max(leastPace, pace))
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

// memoryKept is the share of a worker's memory that runs which fill leave to
// others: those come at any time and are short.
const memoryKept = 0.08

// mayFill keeps runs that fill to processors that are idle and to memory beyond
// what is kept, and away from serving runs that they would bring over their target.
func (p *pass) mayFill(t *task, sl *slot) bool {
	kept := int64(memoryKept * float64(sl.host.Capacity.MemoryMB))
	if sl.idle < t.step.Needs.MilliCPU || sl.free.MemoryMB-kept < t.step.Needs.MemoryMB {
		return false
	}
	if sl.serves == 0 {
		return true
	}
	if p.gentle && p.s.images.worstStrain(t, sl.host) > gentleStrain {
		return false
	}
	return share(t, sl.host) <= p.bearable(t.step.Image, sl)
}

// gentleStrain is the utilisation that a filling run may add where others that
// press less may still want the host.
const gentleStrain = 0.12

// bearable returns the share of sl's processors that a run of a filling image
// may use.
func (p *pass) bearable(image string, sl *slot) float64 {
	if sl.serves == 0 {
		return 1
	}
	most, ok := sl.bearable[image]
	if !ok {
		most = p.s.images.bearable(image, sl.host, p.now)
		sl.bearable[image] = most
	}
	return most
}

func passes(t *task, q *fleet.Queue, sl *slot) bool {
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
	}
}

// placeGang places all members or none, in one rack where that pays.
func (p *pass) placeGang(c *candidate, q *fleet.Queue, tickets map[string]string) {
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

// gangSlots returns a slot per member, or nil.
func (p *pass) gangSlots(c *candidate, q *fleet.Queue, rack string, tickets map[string]string) []*slot {
	trial := make([]*slot, len(p.slots))
	origin := make(map[*slot]*slot, len(p.slots))
	for i, sl := range p.slots {
		dup := *sl
		dup.bearable = map[string]float64{}
		trial[i], origin[&dup] = &dup, sl
	}
	var chosen []*slot
	perHost := map[*slot]int{}
	for _, t := range c.tasks {
		if t.Phase != workload.Pending {
			continue // placed by the gentle run
		}
		sl := p.best(t, q, trial, rack, tickets)
		if sl == nil {
			return nil
		}
		sl.take(t)
		perHost[sl]++
		chosen = append(chosen, origin[sl])
		if limit := t.step.MaxPerWorker; limit > 0 && perHost[sl] >= limit {
			trial = slices.DeleteFunc(trial, func(o *slot) bool { return o == sl })
		}
	}
	return chosen
}

// startGang binds the members with one run number and one checkpoint.
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
		chosen[i].take(t)
		chosen[i].host.place(t, now)
	}
}

const (
	// preemptWait is how long a task waits for room before runs of lower
	// priority are stopped: runs of half a second to some seconds end all the time.
	preemptWait = 120 * time.Millisecond
	// maxWaste is the most unsaved work, in core-milliseconds, that a stop may
	// throw away for each core-millisecond of the task that waits.
	maxWaste = 1.0
)

// preempt stops runs of lower priority where the least work is lost by it.
func (p *pass) preempt(c *candidate, t *task, q *fleet.Queue) {
	s, now := p.s, p.now
	if c.class > classLasting {
		return
	}
	if now-t.readyAt < preemptWait && !t.step.Lasting {
		s.later(t.readyAt + preemptWait)
		return
	}
	var target *slot
	var victims []*task
	least := maxWaste * float64(t.step.Needs.MilliCPU) * float64(max(t.step.EstimateMillis, minPreemptWorth))
	least *= 1 + float64(now-t.readyAt)/float64(wastePerWait)
	if t.step.Lasting {
		least *= lastingWorth
	}
	for _, sl := range p.slots {
		if !serviceFits(t, q, sl) || !labelFits(t, q, sl) || !apartFits(t, q, sl) {
			continue
		}
		if t.step.Committed().Fits(sl.free.Add(sl.coming)) {
			sl.free = sl.free.Sub(t.step.Committed()) // it gets what is coming
			return
		}
		if vs, waste := s.victims(t, q.Priority, sl, now); vs != nil && waste < least {
			target, victims, least = sl, vs, waste
		}
	}
	if target == nil {
		return
	}
	for _, v := range victims {
		v.stopWanted, v.preempted = true, true
		target.coming = target.coming.Add(v.step.Committed())
		s.inspectStop(v, target.host, now)
	}
	s.cfg.Metrics.Preempted(len(victims))
	logger.WithField("task", t.name).WithField("worker", target.host.ID).WithField("victims", len(victims)).
		WithField("waste_core_ms", int(least/1000)).Debug("runs of lower priority are stopped")
	target.free = target.free.Sub(t.step.Committed())
}

const (
	// wastePerWait is the wait after which the waste allowed has doubled: urgent
	// work has to start within seconds, whatever it costs.
	wastePerWait = 400 * time.Millisecond
	// minPreemptWorth is the least duration, in milliseconds, that a waiting
	// task counts for; declared durations may be far too low.
	minPreemptWorth = 500
	// lastingWorth is how much more a lasting task counts: it runs for long.
	lastingWorth = 10
)

// victims returns the runs on sl to stop for t and the work lost, in
// core-milliseconds times a thousand, or nil.
func (s *Shard) victims(t *task, priority int, sl *slot, now time.Duration) ([]*task, float64) {
	cfg := s.cfg.Config()
	var options []*task
	for _, v := range sl.host.tasks {
		q := queueOf(cfg, v.job)
		if q == nil || q.Priority <= priority || v.step.Lasting || v.step.Gang || v.stopWanted || v.stage != stageRunning {
			continue
		}
		options = append(options, v)
	}
	slices.SortFunc(options, func(a, b *task) int {
		if wa, wb := waste(a, now), waste(b, now); wa != wb {
			if wa < wb {
				return -1
			}
			return 1
		}
		return 0
	})
	room, lost := sl.free.Add(sl.coming), 0.0
	for i, v := range options {
		room = room.Add(v.step.Committed())
		lost += waste(v, now)
		if t.step.Committed().Fits(room) {
			return options[:i+1], lost
		}
	}
	return nil, 0
}

// checkpointAge is about how much work a stop loses where checkpoints are
// taken; a stop saves once more.
const checkpointAge = 100 * time.Millisecond

// waste is the unsaved work of a run.
func waste(t *task, now time.Duration) float64 {
	d := now - t.since
	if t.step.Checkpoints {
		d = min(d, checkpointAge)
	}
	return float64(t.step.Needs.MilliCPU) * float64(d.Milliseconds())
}
