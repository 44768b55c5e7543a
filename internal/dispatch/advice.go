package dispatch

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"time"

	"skylarkport/internal/contract/fleet"
	"skylarkport/internal/workload"
)

const (
	// maxWorkersPerCall bounds the workers named in one call to the adviser.
	maxWorkersPerCall = 30
	// maxAdviceCalls bounds the calls in flight. The adviser serves one call of an instance at a time, in
	// turn, so the second one waits there for the first.
	maxAdviceCalls = 2
	// minAdviceTimeout and maxAdviceTimeout bound the wait for a call, beside the time that the adviser
	// is said to take.
	minAdviceTimeout = 2 * time.Second
	maxAdviceTimeout = 15 * time.Second
	// adviceRetryDelay is the pause after a failed call, and after the rejection of a ticket.
	adviceRetryDelay = 300 * time.Millisecond
	// adviceRecheck is how long a worker counts as denied. What the adviser has said of a step holds; a
	// wrong answer must not keep a worker out for good.
	adviceRecheck = 30 * time.Second
	// ticketSafetyMargin is subtracted from a ticket's validity, so that the ticket is
	// still valid when the start reaches the worker.
	ticketSafetyMargin = 500 * time.Millisecond
	// approvalWindow is the number of answers over which a worker's approvals for the steps of a queue
	// are smoothed.
	approvalWindow = 8
)

// stepKey names a step of an occurrence of a job.
type stepKey struct{ occurrence, step int }

// advice is what the adviser has said of the workers for one step.
type advice struct {
	verdicts map[string]verdict // by worker id
	asking   bool               // a call is in flight
	retryAt  time.Duration      // no new call before then
	failures int                // failed calls in a row
}

// verdict is what the adviser has said of one incarnation of a worker.
type verdict struct {
	incarnation int64
	ticket      string        // "" if the worker may not run the step
	validUntil  time.Duration // the ticket is used until then
	recheckAt   time.Duration // a worker without a ticket is asked about again then
}

// advice returns what is known of the workers for the step of t, or nil.
func (t *task) advice() *advice { return t.job.advice[stepKey{t.id.Occurrence, t.id.Step}] }

// verdict returns what the adviser has said of the present incarnation of h.
func (a *advice) verdict(h *host) (verdict, bool) {
	v, ok := a.verdicts[h.ID]
	return v, ok && v.incarnation == h.Incarnation
}

// adviceAllows excludes the workers that the adviser has denied the step.
func adviceAllows(t *task, _ *fleet.Queue, sl *slot) bool {
	a := t.advice()
	if a == nil {
		return true
	}
	v, known := a.verdict(sl.host)
	return !known || v.ticket != ""
}

// isAdvised reports whether the tasks of q run only on workers that the adviser approves.
func (s *Shard) isAdvised(q *fleet.Queue) bool {
	return q != nil && q.Advice != nil && s.cfg.Adviser != nil
}

// tickets returns the valid tickets for the step of t by worker id, or nil if the queue needs none.
func (s *Shard) tickets(t *task, q *fleet.Queue, now time.Duration) map[string]string {
	if !s.isAdvised(q) {
		return nil
	}
	out := map[string]string{}
	if a := t.advice(); a != nil {
		for id, v := range a.verdicts {
			if v.ticket != "" && now < v.validUntil {
				out[id] = v.ticket
			}
		}
	}
	return out
}

// ensureAdvice returns what is known of the workers for the step of t, at first nothing.
func (t *task) ensureAdvice() *advice {
	if a := t.advice(); a != nil {
		return a
	}
	if t.job.advice == nil {
		t.job.advice = map[stepKey]*advice{}
	}
	a := &advice{verdicts: map[string]verdict{}}
	t.job.advice[stepKey{t.id.Occurrence, t.id.Step}] = a
	return a
}

// seekAdvice asks the adviser in the background about workers on which t could be placed if it had a
// valid ticket. Verdicts are kept, so that successive calls go through all workers of the shard.
func (s *Shard) seekAdvice(t *task, q *fleet.Queue, slots []*slot, now time.Duration) {
	a := t.ensureAdvice()
	if a.asking {
		return // the answer wakes the commit loop
	}
	if now < a.retryAt || s.adviceCalls >= maxAdviceCalls {
		s.replanAt(max(a.retryAt, now+tickInterval))
		return
	}
	hosts := s.hostsToAsk(a, t, q, slots, now)
	hosts = hosts[:min(len(hosts), callSize(q.Advice, a.failures))]
	if len(hosts) == 0 {
		return
	}
	a.asking = true
	s.adviceCalls++
	c := adviceCall{
		advice: a, step: stepName(t), queue: q.Name, policy: *q.Advice, incarnations: map[string]int64{},
		timeout: adviceTimeout(q.Advice, len(hosts), a.failures),
	}
	for _, h := range hosts {
		c.workers = append(c.workers, h.ID)
		c.incarnations[h.ID] = h.Incarnation
		h.askedAbout = now
	}
	s.hostWG.Go(func() { s.callAdviser(&c) })
}

// hostsToAsk returns the hosts to ask the adviser about for the step of t, the most promising first:
// approved hosts with room whose ticket has expired, then hosts with room and no verdict, ordered by their
// approvals for other steps of the queue and by the time of the last question. If there are none, it
// returns approved hosts without room: their capacity may be freed while the new ticket is valid.
func (s *Shard) hostsToAsk(a *advice, t *task, q *fleet.Queue, slots []*slot, now time.Duration) []*host {
	var approved, unknown, full []*host
	for _, sl := range slots {
		if !suits(t.step, q.Service, sl.host.traits()) {
			continue
		}
		v, known := a.verdict(sl.host)
		hasRoom := spreadFits(t, q, sl) && capacityFits(t, sl)
		switch {
		case known && v.ticket != "" && now < v.validUntil, known && v.ticket == "" && now < v.recheckAt:
		case known && v.ticket != "" && hasRoom:
			approved = append(approved, sl.host)
		case known && v.ticket != "":
			full = append(full, sl.host)
		case hasRoom:
			unknown = append(unknown, sl.host)
		}
	}
	if len(approved)+len(unknown) == 0 {
		return full
	}
	slices.SortStableFunc(unknown, func(a, b *host) int {
		return cmp.Or(
			-cmp.Compare(a.approvalShare(q.Name), b.approvalShare(q.Name)),
			cmp.Compare(a.askedAbout, b.askedAbout),
			cmp.Compare(a.ID, b.ID),
		)
	})
	return slices.Concat(approved, unknown)
}

// unknownApprovalShare is assumed for a worker that the adviser was not asked about for a queue.
const unknownApprovalShare = 0.5

// approvalShare is the share of the recent steps of a queue for which the adviser approved h.
func (h *host) approvalShare(queue string) float64 {
	if share, ok := h.approvalShares[queue]; ok {
		return share
	}
	return unknownApprovalShare
}

// observeApproval takes in an answer of the adviser about h for a step of a queue.
func (h *host) observeApproval(queue string, approved bool) {
	if h.approvalShares == nil {
		h.approvalShares = map[string]float64{}
	}
	x := 0.0
	if approved {
		x = 1
	}
	share := h.approvalShare(queue)
	h.approvalShares[queue] = share + (x-share)/approvalWindow
}

// callSize returns how many workers a call names: so many that their tickets are still valid for long when
// they arrive, and fewer after failures.
func callSize(p *fleet.AdvicePolicy, failures int) int {
	n := maxWorkersPerCall
	if p.PerWorker > 0 {
		n = int(min(time.Duration(n), p.Validity/2/p.PerWorker))
	}
	return max(1, n>>min(failures, 5))
}

// callTime is how long the adviser is said to take for n workers.
func callTime(p *fleet.AdvicePolicy, n int) time.Duration {
	return p.Decision + time.Duration(n)*p.PerWorker
}

// adviceTimeout bounds a call about n workers, which may have to wait for another one.
func adviceTimeout(p *fleet.AdvicePolicy, n, failures int) time.Duration {
	d := maxAdviceCalls*callTime(p, n) + minAdviceTimeout
	return min(d<<min(failures, 3), max(d, maxAdviceTimeout))
}

// adviceCall is one call to the adviser.
type adviceCall struct {
	advice       *advice
	step, queue  string
	policy       fleet.AdvicePolicy
	workers      []string
	incarnations map[string]int64 // of the workers
	timeout      time.Duration
}

// callAdviser makes a call and records the answer.
func (s *Shard) callAdviser(c *adviceCall) {
	ctx, cancel := context.WithTimeout(s.hostCtx, c.timeout)
	defer cancel()
	requestedAt := s.now()
	tickets, err := s.cfg.Adviser.Approve(ctx, c.step, c.workers)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	c.advice.asking = false
	s.adviceCalls--
	s.wakeCommitLoop()
	if err != nil {
		c.advice.retryAt = now + adviceRetryDelay
		c.advice.failures++
		s.cfg.Metrics.AdviceFailed()
		logger.WithField("step", c.step).WithField("workers", len(c.workers)).WithField("took", (now - requestedAt).String()).
			WithError(err).Info("adviser call failed")
		return
	}
	c.advice.failures = 0
	s.recordAdvice(c, tickets, requestedAt, now)
}

// recordAdvice records the answer to c. The validity of a ticket counts from the earliest time at which
// the adviser can have issued it, but lasts at least half of its length from now: a call that waited long
// would otherwise never yield a usable ticket.
func (s *Shard) recordAdvice(c *adviceCall, tickets map[string]string, requestedAt, now time.Duration) {
	issuedAt := max(requestedAt, now-callTime(&c.policy, len(c.workers)))
	validUntil := max(issuedAt+c.policy.Validity-ticketSafetyMargin, now+c.policy.Validity/2)
	approved := 0
	for _, id := range c.workers {
		v := verdict{incarnation: c.incarnations[id], ticket: tickets[id], validUntil: validUntil}
		if v.ticket == "" {
			v.recheckAt = now + adviceRecheck
		} else {
			approved++
		}
		c.advice.verdicts[id] = v
		if h := s.hosts[id]; h != nil {
			h.observeApproval(c.queue, v.ticket != "")
		}
	}
	s.cfg.Metrics.Advised(len(c.workers), approved)
	logger.WithField("step", c.step).WithField("workers", len(c.workers)).WithField("approved", approved).
		WithField("known", len(c.advice.verdicts)).WithField("took", (now - requestedAt).String()).Debug("advice received")
}

// stepName identifies the step of t to the adviser.
func stepName(t *task) string {
	return fmt.Sprintf("%s.%d.%d", t.origin.Job, t.origin.Occurrence, t.origin.Step)
}

// rejectTicket discards the ticket of t for h, which rejected it.
func (s *Shard) rejectTicket(t *task, h *host, now time.Duration) {
	if a := t.advice(); a != nil {
		if v, ok := a.verdict(h); ok && v.ticket == t.ticket {
			v.validUntil = 0
			a.verdicts[h.ID] = v
		}
		a.retryAt = now + adviceRetryDelay
	}
}

// adviceExhausted reports whether the adviser has denied the waiting task t every worker of this shard
// that could run it.
func (s *Shard) adviceExhausted(t *task) bool {
	a := t.advice()
	if a == nil || t.Phase != workload.Pending {
		return false
	}
	q := queueOf(s.cfg.Config(), t.job)
	denied := false
	for _, h := range s.hosts {
		if !h.listed || h.Draining || q == nil || !suits(t.step, q.Service, h.traits()) || !t.step.Committed().Fits(h.Capacity) {
			continue
		}
		if adviceAllows(t, q, &slot{host: h}) {
			return false
		}
		denied = true
	}
	return denied
}
