package dispatch

import (
	"context"
	"slices"
	"time"

	"skylarkport/internal/contract/fleet"
	"skylarkport/internal/resource"
	"skylarkport/internal/workload"
)

// host is the state that the owner keeps about a worker. It is kept while runs may exist on
// the worker, even when the registry no longer lists it.
type host struct {
	fleet.Worker
	listed          bool             // the registry lists the worker
	entryOf         int64            // incarnation whose entry has told the labels and the capacity
	tasks           map[string]*task // runs that may exist here, by task name
	unknownRunStops map[string]bool  // unknown runs being stopped, by task name
	hasUnknownRuns  bool             // the last report named runs that were not placed here

	fenced           bool          // the worker's present incarnation has accepted a token of this owner and rejects commands of earlier ones
	generation       int64         // see Shard.raiseToken
	fencedToken      int64         // highest token that the present incarnation has accepted with a renewal
	clock            int64         // the worker's clock at clockAt, in milliseconds
	clockAt          time.Duration // when the response with clock arrived
	maxLeaseUntil    int64         // latest lease end ever sent, on the worker's clock in milliseconds
	leasesExpireAt   time.Duration // when every lease that may have been granted has expired
	unreachableSince time.Duration // since when it has been unreachable, 0 if it is reachable
	lastSilence      time.Duration // when it last became unreachable or was seen to have restarted, 0 for never
	silenceTimedOut  bool          // that was noticed by a call that timed out
	replaced         bool          // another worker answers at its address
	lossRecorded     bool          // the loss of the worker with expired leases has been recorded
	lostSuspect      bool          // a suspect was lost with the worker
	mostCrashes      int           // most earlier crashes of a task that was lost with the worker
	appliedEnd       int64         // number of the last run end applied to the jobs
	durableEnd       int64         // number of the last run end whose effect is durable
	wake             chan struct{} // signals new runs or newly durable run ends
	cancel           context.CancelFunc
	busyUntil        time.Duration        // takes no starts until then
	lateStarts       map[string]lateStart // starts that may still be carried out, by task name
	failureStreak    int                  // consecutive failures by different jobs
	lastFailedJob    string               // job of the last counted failure
	quarantinedUntil time.Duration        // quarantined until then
	coldUntil        time.Duration        // slow after its start until then
	quarantineCount  int                  // quarantines since the last success
	askedAbout       time.Duration        // when the adviser was last asked about it
	approvalShares   map[string]float64   // by queue: the share of the recent steps for which the adviser approved it
	ended            []endedRun           // backfill runs that ended here lately
	relievedAt       time.Duration        // when backfill runs were last throttled, stopped or sped up for its services
}

func newHost(w fleet.Worker) *host {
	return &host{Worker: w, entryOf: w.Incarnation, tasks: map[string]*task{}, unknownRunStops: map[string]bool{}, lateStarts: map[string]lateStart{}, wake: make(chan struct{}, 1)}
}

// free is the capacity that is not reserved by runs. Backfill runs reserve memory
// but no CPU.
func (h *host) free() resource.Vector {
	v := h.Capacity
	for _, t := range h.tasks {
		v = v.Sub(t.step.Committed())
	}
	return v
}

// finiteRunsCapacity returns the capacity reserved by the runs that end by themselves.
func (h *host) finiteRunsCapacity() resource.Vector {
	var v resource.Vector
	for _, t := range h.tasks {
		if !t.step.LongRunning {
			v = v.Add(t.step.Committed())
		}
	}
	return v
}

// workerClock estimates the worker's clock in milliseconds.
func (h *host) workerClock(now time.Duration) int64 {
	return h.clock + (now - h.clockAt).Milliseconds()
}

// clockDriftFactor covers worker clocks that run 2% slow, the most that the platform
// allows.
const clockDriftFactor = 1.021

// expiryMargin covers the rounding of clocks to milliseconds and the time that a worker
// takes to end a run whose lease has expired.
const expiryMargin = 150 * time.Millisecond

// recordLease records that the worker is sent a lease up to until, in milliseconds on the
// worker's clock. The lease counts as granted even if the worker never responds.
func (h *host) recordLease(until int64) {
	if until <= h.maxLeaseUntil {
		return
	}
	h.maxLeaseUntil = until
	left := time.Duration(float64(until-h.clock)*clockDriftFactor) * time.Millisecond
	h.leasesExpireAt = max(h.leasesExpireAt, h.clockAt+left+expiryMargin)
}

// listedWorkerGrace is how long after its lease has expired a run of an unreachable worker
// still counts as existing, if the run ends by itself, belongs to no gang, and the registry
// lists the worker. Such a worker is alive, and the run may have succeeded: a second run
// would repeat its work. The registry drops a dead worker before its leases expire.
const listedWorkerGrace = 3 * time.Second

// recordClock records a response with the worker's clock, and when the leases known so far
// expire.
func (h *host) recordClock(clock int64, now time.Duration) {
	h.clock, h.clockAt = clock, now
	h.unreachableSince, h.lossRecorded = 0, false
	left := time.Duration(float64(h.maxLeaseUntil-clock)*clockDriftFactor) * time.Millisecond
	h.leasesExpireAt = now + max(left, 0) + expiryMargin
}

// resetIncarnation discards what belonged to an earlier incarnation of the worker.
func (h *host) resetIncarnation(incarnation int64) {
	h.Incarnation = incarnation
	h.fenced, h.clock, h.maxLeaseUntil = false, 0, 0
	h.fencedToken = 0
	h.appliedEnd, h.durableEnd = 0, 0
	h.unknownRunStops = map[string]bool{}
}

// markUnreachable records that h does not answer, unless it is known already. A broken connection
// shows it at once, a call that timed out some time afterwards.
func (h *host) markUnreachable(now time.Duration, timedOut bool) {
	if h.unreachableSince == 0 {
		h.unreachableSince, h.lastSilence, h.silenceTimedOut = now, now, timedOut
	}
}

// wakeFollower makes the loop that renews the leases on h check what it waits for: durable
// run ends, or that a lease may be granted.
func (h *host) wakeFollower() {
	select {
	case h.wake <- struct{}{}:
	default:
	}
}

// wakeFollowers wakes the follower of every host. The caller holds the lock.
func (s *Shard) wakeFollowers() {
	for _, h := range s.hosts {
		h.wakeFollower()
	}
}

// acceptsRuns reports whether new runs may be placed on h. A worker may start again as one of another kind, and
// answers before its entry tells.
func (h *host) acceptsRuns(now time.Duration) bool {
	return h.listed && h.entryOf == h.Incarnation && !h.Draining && h.fenced && h.unreachableSince == 0 && now >= h.busyUntil && now >= h.quarantinedUntil
}

// usedCPU estimates the CPU that runs use, in thousandths of a core. A long-running task
// counts with its declared CPU times its estimated load, at least minLongRunningUse; any
// other task counts with its declared CPU.
func (h *host) usedCPU() int64 {
	used := int64(0)
	for _, t := range h.tasks {
		switch {
		case t.step.LongRunning:
			used += int64(float64(t.step.Needs.MilliCPU) * max(minLongRunningUse, t.baseLoad))
		default:
			used += t.step.Needs.MilliCPU
		}
	}
	return used
}

// serviceImages returns the images of the services on h, each once.
func (h *host) serviceImages() []string {
	var out []string
	for _, t := range h.tasks {
		if t.isService() && !slices.Contains(out, t.step.Image) {
			out = append(out, t.step.Image)
		}
	}
	return out
}

// minLongRunningUse is the least fraction of its declared CPU that a long-running task is
// assumed to use.
const minLongRunningUse = 0.4

// place assigns a new run of t to h.
func (h *host) place(t *task, now time.Duration) {
	t.Phase, t.Run = workload.Placed, t.Run+1
	t.Worker, t.Incarnation = h.ID, h.Incarnation
	t.stage, t.stageSince = stagePlanned, now
	t.stopWanted, t.stopSentAt, t.stopAckedAt = false, 0, 0
	t.percent, t.progressedAt, t.gauge, t.cpuLimit, t.overTargetSince, t.loadError, t.observed = 0, now, 0, 0, 0, 0, 0
	t.startCPULimit, t.startTimedOut, t.startRepeated, t.settled = 0, false, false, false
	t.lendTo, t.drainKept = "", false
	h.tasks[t.name] = t
	t.job.rowBytes += placementBytes + len(h.ID)
	t.job.setRunning()
	if t.job.begunAt == 0 {
		t.job.begunAt = now
	}
}
