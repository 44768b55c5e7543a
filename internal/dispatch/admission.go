package dispatch

import (
	"slices"
	"time"

	"skylarkport/internal/admit"
	"skylarkport/internal/contract/fleet"
	"skylarkport/internal/result"
	"skylarkport/internal/workload"
)

const (
	// forecastMaxAge is how long a forecast is reused. Jobs accepted meanwhile are added to it.
	forecastMaxAge = 100 * time.Millisecond
	// admitAllFor is how long a new owner accepts every job: it does not know yet what runs.
	admitAllFor = 2 * time.Second
	// displaceableShare is the share of lower priorities in what a shard completes from which work of a
	// priority is not limited: it takes their capacity.
	displaceableShare = 0.2
	// slackWindow is the number of jobs over which the slack of a queue is smoothed.
	slackWindow = 30
)

// admission is the state that an owner keeps to decide which jobs its shard accepts. It is lost
// with the owner; the callers refused by it are new to its successor.
type admission struct {
	returns   *admit.Returns
	forecasts map[int]*forecast        // by priority of a queue
	refusals  map[string]*refusals     // by queue, since the last log line
	slack     map[string]time.Duration // by queue, how long its jobs can wait on average
}

// forecast is a forecast for one priority, without the idle cores.
type forecast struct {
	admit.Forecast
	at         time.Duration
	waiting    map[string]float64 // cores wanted by startable tasks that are not placed, by backfill image
	waitingAll float64            // cores wanted by all startable tasks
}

// admissionDecision is a decision about a submitted job.
type admissionDecision struct {
	verdict  admit.Verdict
	request  admit.Request
	forecast admit.Forecast
	queue    *fleet.Queue
	since    time.Duration // when the job was first submitted
}

func newAdmission() admission {
	return admission{
		returns: admit.NewReturns(), forecasts: map[int]*forecast{}, refusals: map[string]*refusals{}, slack: map[string]time.Duration{},
	}
}

// enableAdmission prepares the shard for admission: the objectives of jobs are predicted from
// their longest tasks, and the queue is ordered by them alone, as what does not fit is refused.
func (s *Shard) enableAdmission() {
	s.durationModel.stretch = stepStretch{}
	s.sizeWeight = 0
}

// decide decides whether a submitted job is accepted here, and returns nil where nothing is to be
// decided: a job that another instance has accepted is never refused. A job that returns is due
// from its first submission. The caller holds the lock.
func (s *Shard) decide(a *workload.Accepted, now time.Duration) *admissionDecision {
	d := s.assess(a, now, true)
	if d == nil {
		return nil
	}
	a.AtMillis = int64(s.storeNow().Add(d.since - now))
	if d.verdict.Accepted {
		s.admission.returns.Forget(a.Spec.ID)
		s.forecast(d.queue.Priority, now).addJob(s, newJob(a), d.request.Due)
	}
	return d
}

// assess is decide without the effects of the decision. observe says that the job has been submitted,
// so that the slack of its queue takes it in. The caller holds the lock.
func (s *Shard) assess(a *workload.Accepted, now time.Duration, observe bool) *admissionDecision {
	if !s.cfg.Features.Admission || a.Moved || a.Loan != nil || a.Spec.Timed() {
		return nil
	}
	q := s.queueByName(a.Spec.Queue)
	if q == nil || s.jobs[a.Spec.ID] != nil || s.paused || now-s.loadedAt < admitAllFor {
		return nil
	}
	if slices.ContainsFunc(a.Spec.Steps, func(st workload.Step) bool { return st.LongRunning }) {
		return nil // short work gives way to it, and other shards run what does not fit
	}
	if s.throughput.cores(q.Priority+1) > displaceableShare*s.throughput.cores(q.Priority) {
		return nil // work of lower priority gives way to it
	}
	j := newJob(a)
	paths := s.durationModel.criticalPaths(j)
	chain := time.Duration(slices.Max(paths)) * time.Millisecond
	objective := objectiveOf(q, chain)
	since, returns := s.admission.returns.FirstSeen(a.Spec.ID)
	if !returns {
		since = now
	}
	f := s.forecast(q.Priority, now)
	d := &admissionDecision{queue: q, since: since, forecast: f.Forecast, request: admit.Request{
		Now: now, Due: since + objective, LateDue: since + lateFactor*objective, Chain: chain,
		Slack: s.admission.meanSlack(q.Name, objective-chain, observe && !returns), Work: s.durationModel.expectedWork(&a.Spec, 0), Returns: returns,
	}}
	d.forecast.Demands, d.forecast.LateLast = slices.Clip(d.forecast.Demands), s.cfg.Features.Order
	s.admission.returns.AddKept(&d.forecast, q.Priority, now, a.Spec.ID)
	first := &a.Spec.Steps[0]
	d.forecast.Idle = s.freeCores(first, q, now) - f.waiting[backfillImage(first)]
	d.verdict = d.forecast.Decide(d.request)
	return d
}

// refused reports whether the job is refused.
func (d *admissionDecision) refused() bool { return d != nil && !d.verdict.Accepted }

// shardWithRoom names another shard at which the job can end in time, or "". The caller holds the
// lock, which is released meanwhile: the loads are read under the locks of shards.
func (s *Shard) shardWithRoom(spec *workload.Spec, d *admissionDecision) string {
	if s.cfg.OtherShards == nil || !d.verdict.InTime {
		return ""
	}
	s.mu.Unlock()
	defer s.mu.Lock()
	shard, _ := s.cfg.OtherShards.ShardWithRoom(spec, d.request.Elsewhere)
	return shard
}

// refuse records the refusal and returns it as an error with the code JobNoRoom and the time
// to return. The caller holds the lock.
func (s *Shard) refuse(id string, d *admissionDecision) error {
	wait := s.admission.returns.Promise(id, d.request, &d.forecast, d.queue.Priority)
	s.recordRefusal(d)
	return d.refusal(wait)
}

// refusal returns the error of a refused job whose caller is to return after wait.
func (d *admissionDecision) refusal(wait time.Duration) error {
	return &result.Error{Code: result.JobNoRoom, Detail: "no capacity for the job while it is of use", RetryAfter: wait}
}

// queueByName returns the configured queue of that name, or nil.
func (s *Shard) queueByName(name string) *fleet.Queue {
	return configuredQueue(s.cfg.Config(), name)
}

// serviceOf returns the service whose workers run j, or "" if its queue is not known.
func (s *Shard) serviceOf(j *job) string {
	if q := queueOf(s.cfg.Config(), j); q != nil {
		return q.Service
	}
	return ""
}

// meanSlack returns how long jobs of a queue can wait on average and still end in time, and takes
// in that of a new job.
func (a *admission) meanSlack(queue string, slack time.Duration, isNew bool) time.Duration {
	mean, ok := a.slack[queue]
	if !ok {
		mean = slack
	}
	if isNew {
		mean += (slack - mean) / slackWindow
		a.slack[queue] = mean
	}
	return mean
}

// objectiveOf returns the time within which a job with that chain is to end.
func objectiveOf(q *fleet.Queue, chain time.Duration) time.Duration {
	return time.Duration(q.Slack*float64(chain)) + q.Target
}

// forecast returns the forecast for jobs of a priority. The caller holds the lock.
func (s *Shard) forecast(priority int, now time.Duration) *forecast {
	if f := s.admission.forecasts[priority]; f != nil && now-f.at < forecastMaxAge {
		return f
	}
	f := &forecast{at: now, waiting: map[string]float64{}}
	f.Cores = s.throughput.cores(priority)
	for _, j := range s.jobs {
		if q := queueOf(s.cfg.Config(), j); q != nil && q.Priority <= priority && j.active() {
			s.addDemand(f, j, q, q.Priority < priority, now)
		}
	}
	s.admission.forecasts[priority] = f
	return f
}

// addDemand adds the work of an accepted job that does not run yet. That of a more urgent
// priority has to start at once. The caller holds the lock.
func (s *Shard) addDemand(f *forecast, j *job, q *fleet.Queue, urgent bool, now time.Duration) {
	if len(j.tasks) == 0 {
		return
	}
	paths := s.durationModel.criticalPaths(j)
	objective := objectiveOf(q, time.Duration(slices.Max(paths))*time.Millisecond)
	for k := range j.tasks {
		due := now + objective - s.occurrenceAge(j, k)
		for step := range j.spec.Steps {
			st := &j.spec.Steps[step]
			waiting := 0
			for _, t := range j.stepTasks(k, step) {
				if t.Phase == workload.Pending {
					waiting++
				}
			}
			if st.LongRunning || waiting == 0 {
				continue
			}
			cores := float64(waiting) * float64(st.Needs.MilliCPU) / 1000
			if j.dependenciesDone(k, step) {
				f.addWaiting(st, cores)
			}
			startBy := due - time.Duration(paths[step])*time.Millisecond
			if urgent {
				startBy = now
			}
			f.addStep(startBy, cores*float64(s.durationModel.taskMillis(j, step)), now)
		}
	}
}

// addJob adds a job that has just been accepted.
func (f *forecast) addJob(s *Shard, j *job, due time.Duration) {
	paths := s.durationModel.criticalPaths(j)
	for step := range j.spec.Steps {
		st := &j.spec.Steps[step]
		cores := float64(st.MilliCPU()) / 1000
		if step == 0 {
			f.addWaiting(st, cores)
		}
		startBy := due - time.Duration(paths[step])*time.Millisecond
		f.addStep(startBy, cores*float64(s.durationModel.taskMillis(j, step)), f.at)
	}
}

// addStep adds work that has to start by the given time.
func (f *forecast) addStep(startBy time.Duration, work float64, now time.Duration) {
	if startBy < now {
		f.Late += work
		return
	}
	f.Add(admit.Demand{StartBy: startBy, Work: work})
}

// addWaiting adds startable tasks of a step.
func (f *forecast) addWaiting(st *workload.Step, cores float64) {
	f.waiting[backfillImage(st)] += cores
	f.waitingAll += cores
}

// backfillImage returns the image of a backfill step, which determines where its tasks fit. Other
// steps compete for the same workers.
func backfillImage(st *workload.Step) string {
	if st.Backfill {
		return st.Image
	}
	return ""
}
