package dispatch

import (
	"maps"
	"time"

	"skylarkport/internal/contract/fleet"
	"skylarkport/internal/workload"
)

// lateStart is a start that got no response and that the worker may still carry out until the given time. A
// later incarnation of the worker takes it, too: it knows the token of no owner before its first renewal,
// and the end of the lease lies in the future of its clock. So neither the lease that the owner asked for nor
// the loss of the incarnation bounds the run.
type lateStart struct {
	until time.Duration
	run   int // the run that ends the wait once it is confirmed, as no other start may come; 0 for none
}

// maxCommandDelay is how long after it was sent a command may still be carried out.
const maxCommandDelay = 13 * time.Second

// recordLateStart records that the start of t on h, which was sent at sent, may still be carried out.
func (h *host) recordLateStart(t *task, sent time.Duration) {
	h.keepLateStart(t.name, lateStart{until: sent + maxCommandDelay, run: t.Run})
}

// keepLateStart records a start of the task beside an earlier one.
func (h *host) keepLateStart(task string, late lateStart) {
	if earlier, ok := h.lateStarts[task]; ok {
		late.until, late.run = max(late.until, earlier.until), min(late.run, earlier.run)
	}
	h.lateStarts[task] = late
}

// lateStartRepeated records that the start of the task's run is sent again: one of the two may still be carried out
// when the run is confirmed.
func (h *host) lateStartRepeated(task string) {
	if late, ok := h.lateStarts[task]; ok {
		h.lateStarts[task] = lateStart{until: late.until}
	}
}

// confirmStart forgets the start of t's run, which h has carried out, unless another may still come.
func (h *host) confirmStart(t *task) {
	if h.lateStarts[t.name].run == t.Run {
		delete(h.lateStarts, t.name)
	}
}

// lateRunsEnd returns by when no run of the task exists any more that a late start on h has begun,
// whichever incarnation has carried it out, or 0 if there is no such start. A lease granted with a time on another
// clock is as long as the worker allows.
func (s *Shard) lateRunsEnd(h *host, task string) time.Duration {
	late, ok := h.lateStarts[task]
	if !ok {
		return 0
	}
	return s.lateRunEnd(late.until)
}

// lateRunEnd returns by when a run has ended that a start has begun by until, on a worker that its owner does not reach.
func (s *Shard) lateRunEnd(until time.Duration) time.Duration {
	return until + time.Duration(float64(s.cfg.Bounds.LeaseMax)*clockDriftFactor) + expiryMargin
}

// forgetLateStarts drops the starts on h whose runs are over.
func (s *Shard) forgetLateStarts(h *host, now time.Duration) {
	maps.DeleteFunc(h.lateStarts, func(task string, _ lateStart) bool { return now > s.lateRunsEnd(h, task) })
}

// runLost reports whether the run of t no longer exists because the leases of the unreachable worker h have
// expired, and no late start has begun it since, or another worker has the address of h.
func (s *Shard) runLost(h *host, t *task, now time.Duration) bool {
	if h.replaced {
		return true
	}
	if h.unreachableSince == 0 || now <= s.lateRunsEnd(h, t.name) {
		return false
	}
	if h.listed && !t.step.LongRunning && !t.step.Gang {
		return now > h.leasesExpireAt+listedWorkerGrace
	}
	return now > h.leasesExpireAt
}

// maxGenerations bounds the generations of one owner.
const maxGenerations = 1 << 20

// token returns the fencing token of commands to h. It is above that of all commands before the present
// generation of h, and of all commands of earlier owners.
func (s *Shard) token(h *host) int64 {
	return s.cfg.Epoch*maxGenerations + min(h.generation, maxGenerations-1)
}

// raiseToken raises the token of commands to h. The generations are counted for all workers, so that a host that
// is created anew has none that its worker has seen.
func (s *Shard) raiseToken(h *host) {
	s.generation++
	h.generation = s.generation
}

// fenceEarlier lets h reject all commands so far from its next renewal on. It does nothing while a start has no
// response yet, which would be rejected as well.
func (s *Shard) fenceEarlier(h *host) {
	for _, t := range h.tasks {
		if t.stage == stageSent {
			return
		}
	}
	s.raiseToken(h)
	h.wakeFollower()
}

// bindTask binds t, which has no run on h any more, to h while h may still carry out an earlier start of it. The
// present incarnation of h rejects that start, but a later one would not; a run elsewhere would then not be the
// only one.
func (s *Shard) bindTask(t *task, h *host) {
	if late, ok := h.lateStarts[t.name]; ok && !h.replaced {
		s.bind(t, h.ID, late.until)
	}
}

func (s *Shard) bind(t *task, worker string, until time.Duration) {
	t.boundTo, t.boundUntil = worker, until
	s.bound[t.name] = t
}

// releaseBound ends the binding of t once no run exists any more that an earlier start of it has begun, it waits no
// more, or its worker drains, and reports whether t is still bound. A worker that leaves does not start again under
// its id.
func (s *Shard) releaseBound(t *task, now time.Duration) bool {
	h := s.hosts[t.boundTo]
	if t.boundTo != "" && t.Phase == workload.Pending && now < s.lateRunEnd(t.boundUntil) && (h == nil || !h.Draining) {
		return true
	}
	if h != nil && t.Phase == workload.Placed && t.Worker == h.ID {
		h.keepLateStart(t.name, lateStart{until: t.boundUntil}) // a later run of t on the worker does not end it
	}
	s.unbind(t)
	return false
}

func (s *Shard) unbind(t *task) {
	t.boundTo = ""
	delete(s.bound, t.name)
}

// releaseAbsent ends the binding of the tasks that h has no run of, by a report that was requested at sent, once
// no earlier start can be carried out.
func (s *Shard) releaseAbsent(h *host, sent time.Duration, listed map[string]bool) {
	for name, t := range s.bound {
		if t.boundTo == h.ID && sent > t.boundUntil && !listed[name] {
			s.unbind(t)
			s.wakeCommitLoop()
		}
	}
}

// lateStartAllows keeps a task that is bound to a worker off the others.
func lateStartAllows(t *task, _ *fleet.Queue, sl *slot) bool {
	return t.boundTo == "" || t.boundTo == sl.host.ID
}
