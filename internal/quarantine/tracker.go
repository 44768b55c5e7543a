// Package quarantine detects workers on which runs fail that would succeed
// elsewhere. A worker is quarantined when runs of several jobs fail on it. Jobs
// that fail on many workers do not count, and a worker whose failure rate is not
// well above that of the other workers is not quarantined.
package quarantine

import (
	"math"
	"time"
)

const (
	maxRunRecords          = 64   // latest ended runs, per worker
	maxJobRecords          = 4096 // jobs with failures
	failsEverywhereWorkers = 3    // workers on which a job must fail for its failures not to count
	minRateFactor          = 3.0  // least failure rate of a bad worker over that of the other workers
	minFailureRate         = 0.5  // least failure rate of a bad worker
	maxDoublings           = 3    // of the time in quarantine, at relapses
)

// Config holds the thresholds for a quarantine.
type Config struct {
	FailedJobs  int           // distinct jobs that must fail on a worker within Window; none are quarantined if 0
	Window      time.Duration // age up to which the end of a run counts
	Duration    time.Duration // of the first quarantine; doubled at each relapse, up to maxDoublings times
	MaxFraction float64       // of the workers that may be in quarantine or on probation; one always may
}

// Status is the quarantine status of a worker.
type Status uint8

// The statuses of a worker.
const (
	Clear       Status = iota // takes runs without restriction
	Quarantined               // takes no run
	Probation                 // takes one run at a time until one finishes
)

// runRecord describes an ended run: when it ended, its job and whether it failed.
type runRecord struct {
	endedAt time.Duration
	job     string
	failed  bool
}

// worker holds the latest ended runs of a worker and its status.
type worker struct {
	records     []runRecord
	status      Status
	until       time.Duration
	quarantines int // consecutive quarantines, without a run finished on probation between
}

// jobRecord counts the ended runs of a job since its first failure.
type jobRecord struct {
	failedOn    map[string]struct{} // workers where it failed, at most failsEverywhereWorkers
	failed      int
	finished    int
	lastFailure time.Duration
}

// Tracker records how runs ended on each worker and decides which workers are in
// quarantine. It is not safe for concurrent use.
type Tracker struct {
	cfg         Config
	workers     map[string]*worker
	jobs        map[string]*jobRecord
	workerCount int // workers known to the owner
}

// NewTracker returns an empty tracker.
func NewTracker(cfg Config) *Tracker {
	return &Tracker{cfg: cfg, workers: map[string]*worker{}, jobs: map[string]*jobRecord{}}
}

// Configure changes the thresholds.
func (t *Tracker) Configure(cfg Config) { t.cfg = cfg }

// SetWorkerCount sets the number of workers, of which MaxFraction is taken.
func (t *Tracker) SetWorkerCount(n int) { t.workerCount = n }

// RecordEnd records the end of a run of job on the worker id. A failure may
// quarantine the worker; a run that finishes on probation clears it.
func (t *Tracker) RecordEnd(id, job string, failed bool, now time.Duration) {
	w := t.worker(id)
	w.add(runRecord{endedAt: now, job: job, failed: failed})
	if failed {
		t.recordJobFailure(job, id, now)
		t.evaluate(id, w, now)
		return
	}
	if j := t.jobs[job]; j != nil {
		j.finished++
	}
	if w.status == Probation {
		w.status, w.quarantines = Clear, 0
		w.records = w.records[len(w.records)-1:]
	}
}

// Forget drops the records of a worker that left or restarted.
func (t *Tracker) Forget(id string) { delete(t.workers, id) }

// Statuses returns the status of every worker that is not Clear. Workers whose
// quarantine is over by now are put on probation.
func (t *Tracker) Statuses(now time.Duration) map[string]Status {
	m := map[string]Status{}
	for id, w := range t.workers {
		if w.status == Quarantined && now >= w.until {
			w.status = Probation
		}
		if w.status != Clear {
			m[id] = w.status
		}
	}
	return m
}

// evaluate quarantines w after a failure if it is on probation, or if enough
// distinct jobs failed on it and its failure rate is high, both absolutely and
// compared with the other workers.
func (t *Tracker) evaluate(id string, w *worker, now time.Duration) {
	if w.status == Quarantined || t.cfg.FailedJobs <= 0 {
		return
	}
	if w.status == Probation {
		t.quarantine(w, now)
		return
	}
	jobs, failed, ended := t.countFailures(w, now)
	if jobs < t.cfg.FailedJobs {
		return
	}
	rate := float64(failed) / float64(ended)
	if rate < minFailureRate || rate < minRateFactor*t.otherWorkersRate(id, now) {
		return
	}
	t.quarantine(w, now)
}

// quarantine puts w in quarantine unless MaxFraction of the workers are in
// quarantine or on probation already.
func (t *Tracker) quarantine(w *worker, now time.Duration) {
	quarantined := 0
	for _, o := range t.workers {
		if o.status != Clear && o != w {
			quarantined++
		}
	}
	n := max(t.workerCount, len(t.workers))
	if float64(quarantined+1) > math.Max(1, t.cfg.MaxFraction*float64(n)) {
		return
	}
	w.status = Quarantined
	w.until = now + t.cfg.Duration<<min(w.quarantines, maxDoublings)
	w.quarantines++
}

// countFailures returns the number of distinct jobs that failed on w within the
// window, of their failed runs and of all ended runs. Failures of jobs that fail
// everywhere do not count.
func (t *Tracker) countFailures(w *worker, now time.Duration) (jobs, failed, ended int) {
	failedJobs := map[string]struct{}{}
	for _, r := range w.records {
		if now-r.endedAt > t.cfg.Window {
			continue
		}
		if r.failed && t.failsEverywhere(r.job, now) {
			continue
		}
		ended++
		if !r.failed {
			continue
		}
		failed++
		failedJobs[r.job] = struct{}{}
	}
	return len(failedJobs), failed, ended
}

// otherWorkersRate returns the failure rate within the window of all workers other
// than id, without those in quarantine or on probation.
func (t *Tracker) otherWorkersRate(id string, now time.Duration) float64 {
	failed, ended := 0, 0
	for other, w := range t.workers {
		if other == id || w.status != Clear {
			continue
		}
		for _, r := range w.records {
			if now-r.endedAt > t.cfg.Window {
				continue
			}
			ended++
			if r.failed {
				failed++
			}
		}
	}
	if ended == 0 {
		return 0
	}
	return float64(failed) / float64(ended)
}

// failsEverywhere reports whether the job failed on failsEverywhereWorkers workers
// and more often than it finished, so that its failures say nothing about a worker.
func (t *Tracker) failsEverywhere(job string, now time.Duration) bool {
	j := t.jobs[job]
	return j != nil && len(j.failedOn) >= failsEverywhereWorkers && j.failed > j.finished && now-j.lastFailure <= t.cfg.Window
}

// recordJobFailure counts a failure of the job on the worker id. Counts start anew
// if the last failure is older than the window.
func (t *Tracker) recordJobFailure(job, id string, now time.Duration) {
	j := t.jobs[job]
	if j == nil || now-j.lastFailure > t.cfg.Window {
		t.dropOldJobs(now)
		j = &jobRecord{failedOn: map[string]struct{}{}}
		t.jobs[job] = j
	}
	j.lastFailure = now
	j.failed++
	if len(j.failedOn) < failsEverywhereWorkers {
		j.failedOn[id] = struct{}{}
	}
}

// dropOldJobs drops jobs without a failure in the window if maxJobRecords are held,
// and all jobs if that is not enough.
func (t *Tracker) dropOldJobs(now time.Duration) {
	if len(t.jobs) < maxJobRecords {
		return
	}
	for id, j := range t.jobs {
		if now-j.lastFailure > t.cfg.Window {
			delete(t.jobs, id)
		}
	}
	if len(t.jobs) >= maxJobRecords {
		clear(t.jobs)
	}
}

func (t *Tracker) worker(id string) *worker {
	w := t.workers[id]
	if w == nil {
		w = &worker{}
		t.workers[id] = w
	}
	return w
}

func (w *worker) add(r runRecord) {
	if len(w.records) == maxRunRecords {
		w.records = append(w.records[:0], w.records[1:]...)
	}
	w.records = append(w.records, r)
}
