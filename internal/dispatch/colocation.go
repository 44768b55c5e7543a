package dispatch

import (
	"slices"
	"time"

	"skylarkport/internal/colocation"
	"skylarkport/internal/workload"
)

// loadMargin is utilisation kept free for what the prediction of a service's load misses.
const loadMargin = 0.04

// isService reports whether t is a service: long-running, with a tail latency target.
func (t *task) isService() bool { return t.step.LongRunning && t.step.TargetMillis > 0 }

// service describes the service t to the colocation model.
func (t *task) service() colocation.Service {
	return colocation.Service{
		Step:  colocation.StepKey{Job: t.origin.Job, Occurrence: t.origin.Occurrence, Step: t.origin.Step},
		Image: t.step.Image, Tail: t.gauge, Target: float64(t.step.TargetMillis), Error: t.loadError,
	}
}

// cpuShare is the fraction of the host's CPU that a backfill run uses: what it declares,
// reduced by its CPU limit.
func cpuShare(backfill *task, h *host) float64 {
	if h.Capacity.MilliCPU == 0 {
		return 0
	}
	return backfill.mayUse() / float64(h.Capacity.MilliCPU)
}

// mayUse is the CPU that a backfill run may use, in thousandths of a core.
func (t *task) mayUse() float64 {
	used := float64(t.step.Needs.MilliCPU)
	if t.cpuLimit > 0 {
		used = used * float64(t.cpuLimit) / 100
	}
	return used
}

// run describes the backfill run of t on h to the colocation model.
func (t *task) run(h *host) colocation.Run {
	r := colocation.Run{Image: t.step.Image, Share: cpuShare(t, h)}
	if t.Phase == workload.Placed && t.stage == stageRunning && t.step.Needs.MilliCPU > 0 {
		r.Use = colocation.UseOf(t.gauge / t.mayUse())
	}
	return r
}

// backfillRuns describes the backfill runs on h that are not being stopped.
func (h *host) backfillRuns() []colocation.Run {
	var out []colocation.Run
	for _, t := range h.tasks {
		if t.step.Backfill && !t.stopWanted {
			out = append(out, t.run(h))
		}
	}
	return out
}

// endedRun is a backfill run that a reported tail latency may still show.
type endedRun struct {
	colocation.Run
	from, until time.Duration
}

// rememberEnd records that the backfill run of t has ended on h.
func (h *host) rememberEnd(t *task, now time.Duration) {
	if t.step.Backfill && t.stage == stageRunning {
		h.ended = append(h.ended, endedRun{t.run(h), t.stageSince, now})
	}
}

// reportedRuns describes the backfill runs on h that a report at now shows.
func (h *host) reportedRuns(now time.Duration) []colocation.Run {
	var out []colocation.Run
	for _, t := range h.tasks {
		if t.step.Backfill && t.stage == stageRunning {
			r := t.run(h)
			r.Shown = colocation.Shown(t.stageSince, now, now)
			out = append(out, r)
		}
	}
	h.ended = slices.DeleteFunc(h.ended, func(e endedRun) bool { return colocation.Shown(e.from, e.until, now) == 0 })
	for _, e := range h.ended {
		e.Shown = colocation.Shown(e.from, e.until, now)
		out = append(out, e.Run)
	}
	return out
}

// imageHeadroom is the least utilisation that the services of an image on a host can take in addition.
// It is negative when the target of one is at risk.
type imageHeadroom struct {
	image    string
	headroom float64
}

// headrooms returns the headroom of each service image on h in the given number of seconds from now on.
func (s *Shard) headrooms(h *host, now time.Duration, seconds int) []imageHeadroom {
	var out []imageHeadroom
	var added []float64
	runs := h.backfillRuns()
	for _, t := range h.tasks {
		if !t.isService() {
			continue
		}
		i := slices.IndexFunc(out, func(e imageHeadroom) bool { return e.image == t.step.Image })
		if i < 0 {
			i = len(out)
			out = append(out, imageHeadroom{t.step.Image, 1})
			added = append(added, s.colocation.AddedBy(runs, t.step.Image))
		}
		sv := t.service()
		headroom := s.colocation.TargetUtilisation(sv) - loadMargin - added[i] - s.colocation.Peak(sv, now, seconds)
		out[i].headroom = min(out[i].headroom, headroom)
	}
	return out
}

// maxShareFor is the fraction of a host's CPU that one more run of a backfill image
// may use without bringing a service there near its target. It is negative if a service is
// near its target already.
func (s *Shard) maxShareFor(image string, headrooms []imageHeadroom) float64 {
	maxShare := 1.0
	for _, h := range headrooms {
		if h.headroom < 0 {
			return -1
		}
		if w := s.colocation.Added(colocation.Run{Image: image, Share: 1}, h.image); w > 0 {
			maxShare = min(maxShare, h.headroom/w)
		}
	}
	return maxShare
}

// addedUtilisation is what the backfill run of b adds to the utilisation of the service t on h.
func (s *Shard) addedUtilisation(b, t *task, h *host) float64 {
	return s.colocation.Added(b.run(h), t.step.Image)
}

// maxAddedUtilisation is the most that the backfill run of b adds to the utilisation of a
// service on h.
func (s *Shard) maxAddedUtilisation(b *task, h *host) float64 {
	most, last, run := 0.0, "", b.run(h)
	for _, t := range h.tasks {
		if !t.isService() || t.step.Image == last {
			continue
		}
		last = t.step.Image
		most = max(most, s.colocation.Added(run, t.step.Image))
	}
	return most
}
