package dispatch

import (
	"time"

	"skylarkport/internal/contract/fleet"
)

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
		if sl.heads == nil {
			sl.heads = p.s.images.headrooms(sl.host, p.now)
		}
		most = p.s.images.bearableOf(image, sl.heads)
		sl.bearable[image] = most
	}
	return most
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
