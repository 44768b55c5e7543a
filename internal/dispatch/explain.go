package dispatch

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"skylarkport/internal/contract/fleet"
	"skylarkport/internal/result"
	"skylarkport/internal/workload"
)

// Explanation tells what would become of a job that was submitted now, by the first task of its
// first step. Times are in milliseconds from now.
type Explanation struct {
	Shard       string         `json:"shard"`
	MovesTo     string         `json:"moves_to,omitempty"` // shard that would take the job instead
	Refused     string         `json:"refused,omitempty"`  // why it would be refused
	RetryMillis int64          `json:"retry_ms,omitempty"` // when to come back after that
	Workers     int            `json:"workers"`            // workers of the shard
	Excluded    map[string]int `json:"excluded,omitempty"` // the workers that cannot take the task, by reason
	Best        []WorkerCost   `json:"best,omitempty"`     // the workers with the lowest costs, the lowest first
	Worker      string         `json:"worker,omitempty"`   // the worker that would get the task
	Starts      bool           `json:"starts"`             // an expected start is known
	LongRunning bool           `json:"long_running,omitempty"`
	StartMillis int64          `json:"start_ms"`
	EndMillis   int64          `json:"end_ms,omitempty"` // 0 for a long-running task
}

// WorkerCost is the cost of placing a task on a worker.
type WorkerCost struct {
	Worker string             `json:"worker"`
	Cost   float64            `json:"cost"`
	Parts  map[string]float64 `json:"parts,omitempty"` // by scorer, without zeros
}

const (
	// explainPerSecond bounds the explanations of one shard: each costs as much as a placement.
	explainPerSecond = 5
	// listedCosts is the number of workers listed with their costs.
	listedCosts = 3
	// refusedRetry is when callers are told to come back after a refusal that names no time.
	refusedRetry = time.Second
)

// filterNames and scorerNames are in the order of filters and of scorers.
var (
	filterNames = []string{"other service", "label", "limit per worker", "probation", "adviser", "late start elsewhere"}
	scorerNames = []string{"load", "data locality", "failed worker", "colocation", "suspects", "cold start", "fragmentation"}
)

func newExplainLimit() *rate.Limiter { return rate.NewLimiter(explainPerSecond, 1) }

// Explain tells what would become of the job if it was submitted now. It changes nothing.
func (s *Shard) Explain(ctx context.Context, spec workload.Spec) (*Explanation, error) {
	if err := s.awaitLoaded(ctx); err != nil {
		return nil, err
	}
	if err := spec.Validate(); err != nil {
		return nil, err
	}
	if !s.explainLimit.Allow() {
		return nil, result.Errorf(result.PeerBusy, "shard %s explains at most %d jobs a second", s.cfg.Name, explainPerSecond)
	}
	a := workload.Accepted{Spec: spec}
	fasterShard := s.fasterShard(&a)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	e := &Explanation{Shard: s.cfg.Name, MovesTo: fasterShard, Excluded: map[string]int{}}
	if err := s.refusal(&a, now); err != nil {
		e.Refused, e.RetryMillis = err.Error(), max(result.RetryAfter(err), refusedRetry).Milliseconds()
	}
	j := newJob(&a)
	j.createTasks(0, now)
	return e, s.explainTask(e, j.tasks[0][0], now)
}

// refusal returns why a new job would be refused, or nil. The caller holds the lock.
func (s *Shard) refusal(a *workload.Accepted, now time.Duration) error {
	switch {
	case s.paused:
		return result.Errorf(result.NotOwner, "the shard is being handed over")
	case s.storeUnavailable(now):
		return result.Errorf(result.JobRefused, "the store is unavailable")
	}
	if d := s.assess(a, now, false); d.refused() {
		return d.refusal(d.forecast.ReturnAfter())
	}
	return nil
}

// explainTask places t on a copy of the shard's view and records why. The caller holds the lock.
func (s *Shard) explainTask(e *Explanation, t *task, now time.Duration) error {
	q := queueOf(s.cfg.Config(), t.job)
	if q == nil {
		return result.Errorf(result.QueueUnknown, "queue %q", t.job.spec.Queue)
	}
	for _, h := range s.hosts {
		e.Workers++
		if !s.mayPlaceOn(h, now) {
			e.Excluded[h.unusable(now)]++
		}
	}
	p := s.newPlanPass(nil, now)
	p.restoreHolds()
	soonest := time.Duration(-1)
	later := ""
	for _, sl := range p.slots {
		reason := p.whyNot(t, q, sl)
		if reason == "" {
			e.Best = append(e.Best, p.costs(t, sl))
			continue
		}
		e.Excluded[reason]++
		if reason != reasonCapacity || t.step.Backfill {
			continue
		}
		at, ok := earliestFit(t.step.Committed(), sl.free, s.releases(nil, sl.host, now), now)
		if ok && (later == "" || at < soonest) {
			soonest, later = at, sl.host.ID
		}
	}
	slices.SortStableFunc(e.Best, func(a, b WorkerCost) int { return cmp.Compare(a.Cost, b.Cost) })
	e.Best = e.Best[:min(len(e.Best), listedCosts)]
	switch {
	case len(e.Best) > 0:
		e.Worker, e.Starts = e.Best[0].Worker, true
	case later != "":
		e.Worker, e.Starts, e.StartMillis = later, true, (soonest - now).Milliseconds()
	}
	e.LongRunning = t.step.LongRunning
	if e.Starts && !e.LongRunning {
		e.EndMillis = e.StartMillis + s.expectedDuration(t).Milliseconds()
	}
	return nil
}

// Reasons for which a worker cannot take a task, beside the filters.
const (
	reasonCapacity     = "capacity"
	reasonReserved     = "reserved"
	reasonInterference = "interference"
)

// whyNot returns why t cannot be placed on the slot now, or "".
func (p *planPass) whyNot(t *task, q *fleet.Queue, sl *slot) string {
	for i, f := range filters {
		if !f(t, q, sl) {
			return filterNames[i]
		}
	}
	switch {
	case !capacityFits(t, sl):
		return reasonCapacity
	case t.step.Backfill && !p.backfillFits(t, sl):
		return reasonInterference
	case sl.outlook != nil && !sl.outlook.hold.admits(t, p.now+p.s.lateDuration(t)):
		return reasonReserved
	}
	return ""
}

// costs returns the cost of placing t on the slot.
func (p *planPass) costs(t *task, sl *slot) WorkerCost {
	c := WorkerCost{Worker: sl.host.ID, Parts: map[string]float64{}}
	for i, f := range scorers {
		if cost := f(t, sl, p); cost != 0 {
			c.Cost += cost
			c.Parts[scorerNames[i]] = cost
		}
	}
	return c
}

// unusable returns why no run may be placed on h.
func (h *host) unusable(now time.Duration) string {
	switch {
	case !h.listed:
		return "not listed"
	case h.Draining:
		return "draining"
	case h.unreachableSince > 0:
		return "unreachable"
	case now < h.quarantinedUntil:
		return "quarantined"
	case now < h.busyUntil:
		return "busy"
	}
	return "not ready"
}

// String describes e in lines of text.
func (e *Explanation) String() string {
	out := fmt.Sprintf("shard       %s\n", e.Shard)
	if e.MovesTo != "" {
		out += fmt.Sprintf("moves to    %s\n", e.MovesTo)
	}
	if e.Refused != "" {
		out += fmt.Sprintf("refused     %s; come back in %d ms\n", e.Refused, e.RetryMillis)
	}
	switch {
	case !e.Starts:
		out += "start       not foreseen\n"
	case e.LongRunning:
		out += fmt.Sprintf("start       in %d ms on %s, until the job is cancelled\n", e.StartMillis, e.Worker)
	default:
		out += fmt.Sprintf("start       in %d ms on %s, end in %d ms\n", e.StartMillis, e.Worker, e.EndMillis)
	}
	for _, b := range e.Best {
		out += fmt.Sprintf("worker      %s costs %.3f %v\n", b.Worker, b.Cost, b.Parts)
	}
	out += fmt.Sprintf("workers     %d\n", e.Workers)
	for _, reason := range slices.Sorted(maps.Keys(e.Excluded)) {
		out += fmt.Sprintf("excluded    %d by %s\n", e.Excluded[reason], reason)
	}
	return out
}
