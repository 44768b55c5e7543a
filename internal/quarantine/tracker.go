// Package quarantine recognises workers that fail what others run. The
// evidence is failures of different jobs; a job that fails everywhere is no
// evidence, and a failure wave over the whole fleet quarantines nobody.
package quarantine

import (
	"math"
	"time"
)

const (
	maxRecords    = 64 // per worker
	maxJobs       = 4096
	poisonWorkers = 3   // a job that mostly fails, on so many workers, says nothing of any
	fleetFactor   = 3.0 // worker's failure rate over the rest's, at least
	ownRate       = 0.5 // failure rate of the worker, at least
	maxDoublings  = 3   // of the time in quarantine
)

// Config holds the thresholds.
type Config struct {
	Failures int           // distinct jobs that failed within Window
	Window   time.Duration // of the evidence
	For      time.Duration // first quarantine; doubles at each relapse
	Fraction float64       // of the workers, at most
}

// Status is a worker's standing.
type Status uint8

// The standings.
const (
	Clear     Status = iota
	Held             // takes no run
	Probation        // takes one run at a time until one finishes
)

type record struct {
	at     time.Duration
	job    string
	failed bool
}

type worker struct {
	records []record
	status  Status
	until   time.Duration
	times   int // quarantines since the last finished run
}

type jobRecord struct {
	workers  map[string]struct{} // where it failed, few
	failed   int
	finished int
	at       time.Duration // of the latest failure
}

// Tracker holds the evidence. It is not safe for concurrent use.
type Tracker struct {
	cfg     Config
	workers map[string]*worker
	jobs    map[string]*jobRecord
	fleet   int // workers known to the owner
}

// NewTracker returns an empty tracker.
func NewTracker(cfg Config) *Tracker {
	return &Tracker{cfg: cfg, workers: map[string]*worker{}, jobs: map[string]*jobRecord{}}
}

// Configure changes the thresholds.
func (t *Tracker) Configure(cfg Config) { t.cfg = cfg }

// Fleet tells how many workers there are.
func (t *Tracker) Fleet(n int) { t.fleet = n }

// Ended counts the end of a run of job on the worker.
func (t *Tracker) Ended(id, job string, failed bool, now time.Duration) {
	w := t.worker(id)
	w.add(record{at: now, job: job, failed: failed})
	if failed {
		t.jobFailed(job, id, now)
		t.judge(id, w, now)
		return
	}
	if j := t.jobs[job]; j != nil {
		j.finished++
	}
	if w.status == Probation {
		w.status, w.times = Clear, 0
		w.records = w.records[len(w.records)-1:]
	}
}

// Forget drops a worker that left or restarted.
func (t *Tracker) Forget(id string) { delete(t.workers, id) }

// Freeze returns the standing of every worker that is not clear.
func (t *Tracker) Freeze(now time.Duration) map[string]Status {
	m := map[string]Status{}
	for id, w := range t.workers {
		if w.status == Held && now >= w.until {
			w.status = Probation
		}
		if w.status != Clear {
			m[id] = w.status
		}
	}
	return m
}

func (t *Tracker) judge(id string, w *worker, now time.Duration) {
	if w.status == Held || t.cfg.Failures <= 0 {
		return
	}
	if w.status == Probation {
		t.hold(w, now)
		return
	}
	jobs, failed, ended := t.evidence(w, now)
	if jobs < t.cfg.Failures {
		return
	}
	rate := float64(failed) / float64(ended)
	if rate < ownRate || rate < fleetFactor*t.restRate(id, now) {
		return
	}
	t.hold(w, now)
}

// hold quarantines w unless the fraction is used up.
func (t *Tracker) hold(w *worker, now time.Duration) {
	held := 0
	for _, o := range t.workers {
		if o.status != Clear && o != w {
			held++
		}
	}
	n := max(t.fleet, len(t.workers))
	if float64(held+1) > math.Max(1, t.cfg.Fraction*float64(n)) {
		return
	}
	w.status = Held
	w.until = now + t.cfg.For<<min(w.times, maxDoublings)
	w.times++
}

// evidence counts w's records in the window, without jobs that fail everywhere.
func (t *Tracker) evidence(w *worker, now time.Duration) (jobs, failed, ended int) {
	seen := map[string]struct{}{}
	for _, r := range w.records {
		if now-r.at > t.cfg.Window {
			continue
		}
		if r.failed && t.poison(r.job, now) {
			continue
		}
		ended++
		if !r.failed {
			continue
		}
		failed++
		seen[r.job] = struct{}{}
	}
	return len(seen), failed, ended
}

// restRate returns the failure rate of all workers but id, which does not
// count those in quarantine.
func (t *Tracker) restRate(id string, now time.Duration) float64 {
	failed, ended := 0, 0
	for other, w := range t.workers {
		if other == id || w.status != Clear {
			continue
		}
		for _, r := range w.records {
			if now-r.at > t.cfg.Window {
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

func (t *Tracker) poison(job string, now time.Duration) bool {
	j := t.jobs[job]
	return j != nil && len(j.workers) >= poisonWorkers && j.failed > j.finished && now-j.at <= t.cfg.Window
}

func (t *Tracker) jobFailed(job, id string, now time.Duration) {
	j := t.jobs[job]
	if j == nil || now-j.at > t.cfg.Window {
		t.dropOldJobs(now)
		j = &jobRecord{workers: map[string]struct{}{}}
		t.jobs[job] = j
	}
	j.at = now
	j.failed++
	if len(j.workers) < poisonWorkers {
		j.workers[id] = struct{}{}
	}
}

func (t *Tracker) dropOldJobs(now time.Duration) {
	if len(t.jobs) < maxJobs {
		return
	}
	for id, j := range t.jobs {
		if now-j.at > t.cfg.Window {
			delete(t.jobs, id)
		}
	}
	if len(t.jobs) >= maxJobs {
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

func (w *worker) add(r record) {
	if len(w.records) == maxRecords {
		w.records = append(w.records[:0], w.records[1:]...)
	}
	w.records = append(w.records, r)
}
