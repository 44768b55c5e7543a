package dispatch

import "time"

// coldCost keeps runs off workers that are still slow after their start as long as a warm one has
// room, however full.
//
// It answers the return of a zone, or of a part of it, whose workers have just started: runs
// placed there at once would all be late.
const coldCost = 1.5

// observeCold records for how long the worker of a new entry stays slow. An entry that is read
// again says nothing new.
func (h *host) observeCold(cold time.Duration, now time.Duration) {
	if cold != h.Cold {
		h.coldUntil = now + cold
	}
}

// coldWorkerCost avoids workers that are still slow after their start.
func coldWorkerCost(_ *task, sl *slot, p *planPass) float64 {
	if p.now < sl.host.coldUntil {
		return coldCost
	}
	return 0
}
