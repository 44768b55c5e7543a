package dispatch

import (
	"time"

	"github.com/uber-go/tally/v4"

	"skylarkport/internal/contract"
	"skylarkport/internal/contract/fleet"
)

var latencies = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 14)

// Metrics holds the counters and histograms of the shards that an instance owns.
type Metrics struct {
	scope                                 tally.Scope
	commits, commitRefused, commitUnknown tally.Counter
	commitMalformed                       tally.Counter
	adviceFailed, advised, approved       tally.Counter
	commitTime, startWait                 tally.Histogram
	batchJobs                             tally.Counter
	starts, startUnanswered               tally.Counter
	startRejected                         map[fleet.CommandResult]tally.Counter
	ends                                  map[fleet.EndKind]tally.Counter
	renewalFailed, missingRuns            tally.Counter
	quarantined, preempted                tally.Counter
	stopped, discarded                    map[stopReason]tally.Counter
	jobsInTime, jobsLate                  tally.Counter
	lent, returned                        tally.Counter
	workersLost                           map[lossCause]tally.Counter
	givenUp                               tally.Counter
	startsTurnedAway                      tally.Counter
	longRunningWait                       tally.Histogram
	reserved                              tally.Counter
	waitBySize                            [sizeClasses]tally.Histogram
	reservationsEnded                     map[reservationEnd]tally.Counter
	reservationIdle                       tally.Histogram
}

// NewMetrics registers the metrics in scope.
func NewMetrics(scope tally.Scope) *Metrics {
	m := &Metrics{
		scope:            scope,
		commits:          scope.Counter("commits"),
		commitRefused:    scope.Counter("commits_refused"),
		commitUnknown:    scope.Counter("commits_unknown"),
		commitMalformed:  scope.Counter("commits_malformed"),
		adviceFailed:     scope.Counter("advice_failed"),
		advised:          scope.Counter("advice_workers_asked"),
		approved:         scope.Counter("advice_workers_approved"),
		commitTime:       scope.Histogram("commit_seconds", latencies),
		startWait:        scope.Histogram("start_wait_seconds", latencies),
		batchJobs:        scope.Counter("commit_jobs"),
		starts:           scope.Counter("starts"),
		startUnanswered:  scope.Counter("starts_unknown"),
		renewalFailed:    scope.Counter("holds_failed"),
		missingRuns:      scope.Counter("runs_vanished"),
		quarantined:      scope.Counter("workers_set_aside"),
		preempted:        scope.Counter("runs_preempted"),
		lent:             scope.Counter("tasks_lent"),
		returned:         scope.Counter("loans_returned"),
		givenUp:          scope.Counter("tasks_given_up"),
		startsTurnedAway: scope.Counter("starts_zone_out_of_use"),
		longRunningWait:  scope.Histogram("long_running_wait_seconds", latencies),
		startRejected:    map[fleet.CommandResult]tally.Counter{},
		ends:             map[fleet.EndKind]tally.Counter{},
		workersLost:      map[lossCause]tally.Counter{},
		stopped:          map[stopReason]tally.Counter{},
		discarded:        map[stopReason]tally.Counter{},
		jobsInTime:       scope.Tagged(map[string]string{"in_time": "true"}).Counter("jobs_completed"),
		jobsLate:         scope.Tagged(map[string]string{"in_time": "false"}).Counter("jobs_completed"),

		reserved:          scope.Counter("reservations_made"),
		reservationsEnded: map[reservationEnd]tally.Counter{},
		reservationIdle:   scope.Histogram("reservation_idle_seconds", latencies),
	}
	for size, name := range sizeNames {
		m.waitBySize[size] = scope.Tagged(map[string]string{"size": name}).Histogram("task_wait_seconds", latencies)
	}
	for _, e := range []reservationEnd{reservationUsed, reservationMoved, reservationLapsed, reservationNotNeeded} {
		m.reservationsEnded[e] = scope.Tagged(map[string]string{"how": string(e)}).Counter("reservations_ended")
	}
	for _, r := range []stopReason{stopPreempted, stopRelief} {
		tagged := scope.Tagged(map[string]string{"reason": string(r)})
		m.stopped[r], m.discarded[r] = tagged.Counter("runs_stopped"), tagged.Counter("stop_discarded_core_ms")
	}
	for _, c := range []lossCause{lossRestarted, lossReplaced, lossLeaseExpired} {
		m.workersLost[c] = scope.Tagged(map[string]string{"cause": string(c)}).Counter("workers_lost")
	}
	for r, name := range startResultNames {
		m.startRejected[r] = scope.Tagged(map[string]string{"reason": name}).Counter("starts_rejected")
	}
	for _, k := range []fleet.EndKind{fleet.EndDone, fleet.EndFailed, fleet.EndStopped, fleet.EndLeaseExpired, fleet.EndGangBroken, fleet.EndGangIncomplete} {
		m.ends[k] = scope.Tagged(map[string]string{"how": string(k)}).Counter("runs_ended")
	}
	return m
}

var startResultNames = map[fleet.CommandResult]string{
	fleet.CommandAccepted: "unsent", fleet.CommandFenced: "fenced", fleet.CommandStale: "old", fleet.CommandLeaseExpired: "late",
	fleet.CommandNoCapacity: "room", fleet.CommandNoTicket: "ticket", fleet.CommandUnavailable: "busy",
	fleet.CommandInvalid: "invalid", fleet.CommandOtherIncarnation: "life",
}

// Committed records a durable commit of n jobs.
func (m *Metrics) Committed(d time.Duration, n int) {
	m.commits.Inc(1)
	m.batchJobs.Inc(int64(n))
	m.commitTime.RecordDuration(d)
}

// AdviceFailed counts a call to the adviser without an answer.
func (m *Metrics) AdviceFailed() { m.adviceFailed.Inc(1) }

// Advised counts the workers that the adviser was asked about, and those that it approved.
func (m *Metrics) Advised(asked, approved int) {
	m.advised.Inc(int64(asked))
	m.approved.Inc(int64(approved))
}

// CommitMalformed counts a commit that the store rejected as malformed.
func (m *Metrics) CommitMalformed() { m.commitMalformed.Inc(1) }

// CommitFailed records a failed attempt of a commit: refused, or with an unknown outcome.
func (m *Metrics) CommitFailed(err error) {
	if contract.OutcomeOf(err) == contract.Refused {
		m.commitRefused.Inc(1)
		return
	}
	m.commitUnknown.Inc(1)
}

// StartSent records a start and how long the task had been pending before it.
func (m *Metrics) StartSent(wait time.Duration) {
	m.starts.Inc(1)
	m.startWait.RecordDuration(wait)
}

// StartUnanswered records a start command that got no response.
func (m *Metrics) StartUnanswered() { m.startUnanswered.Inc(1) }

// StartRejected records a start that the worker rejected or that was not sent.
func (m *Metrics) StartRejected(r fleet.CommandResult) { m.startRejected[r].Inc(1) }

// RunEnded records the end of a run by its kind.
func (m *Metrics) RunEnded(k fleet.EndKind) {
	if c := m.ends[k]; c != nil {
		c.Inc(1)
	}
}

// RenewalFailed records a lease renewal that got no response.
func (m *Metrics) RenewalFailed() { m.renewalFailed.Inc(1) }

// RunMissing records a placed run that its worker does not report.
func (m *Metrics) RunMissing() { m.missingRuns.Inc(1) }

// Quarantined records that a worker was quarantined.
func (m *Metrics) Quarantined() { m.quarantined.Inc(1) }

// WorkerLost counts a worker that was lost with its runs.
func (m *Metrics) WorkerLost(cause lossCause) { m.workersLost[cause].Inc(1) }

// TaskGivenUp counts a task whose job failed because its workers crash.
func (m *Metrics) TaskGivenUp() { m.givenUp.Inc(1) }

// Preempted records n runs that were stopped for a task of higher priority.
func (m *Metrics) Preempted(n int) { m.preempted.Inc(int64(n)) }

// WaitedBySize records how long a task of a size waited from when it could have been started.
func (m *Metrics) WaitedBySize(size sizeClass, wait time.Duration) {
	m.waitBySize[size].RecordDuration(wait)
}

// Reserved counts a reservation of capacity for a waiting task.
func (m *Metrics) Reserved() { m.reserved.Inc(1) }

// ReservationEnded counts the end of a reservation, which kept tasks off its worker for idle.
func (m *Metrics) ReservationEnded(why reservationEnd, idle time.Duration) {
	m.reservationsEnded[why].Inc(1)
	m.reservationIdle.RecordDuration(idle)
}

// RunStopped counts a run that was stopped for others and the work, in core-milliseconds, that
// the stop throws away.
func (m *Metrics) RunStopped(r stopReason, discarded int64) {
	m.stopped[r].Inc(1)
	m.discarded[r].Inc(discarded)
}

// JobEnded counts a job that has completed.
func (m *Metrics) JobEnded(inTime bool) {
	if inTime {
		m.jobsInTime.Inc(1)
		return
	}
	m.jobsLate.Inc(1)
}

// Lent counts a task that was lent to another shard.
func (m *Metrics) Lent() { m.lent.Inc(1) }

// Returned counts a borrowed task that was returned without a run.
func (m *Metrics) Returned() { m.returned.Inc(1) }

// LongRunningStarted records how long a long-running task waited for its start.
func (m *Metrics) LongRunningStarted(wait time.Duration) { m.longRunningWait.RecordDuration(wait) }

// LongRunningWaiting records how many long-running tasks of a shard have no run, and the longest
// of their waits.
func (m *Metrics) LongRunningWaiting(shard string, n int, longest time.Duration) {
	scope := m.scope.Tagged(map[string]string{"shard": shard})
	scope.Gauge("long_running_waiting").Update(float64(n))
	scope.Gauge("long_running_longest_wait_seconds").Update(longest.Seconds())
}

// LoadPredicted records how well the tail latencies of a shard's services are predicted, and the period of their
// loads.
func (m *Metrics) LoadPredicted(shard string, rms float64, period time.Duration) {
	scope := m.scope.Tagged(map[string]string{"shard": shard})
	scope.Gauge("utilisation_prediction_error").Update(rms)
	scope.Gauge("load_period_seconds").Update(period.Seconds())
}

// StartTurnedAway counts a placement that was undone because the worker's zone is out of use, or
// may be.
func (m *Metrics) StartTurnedAway() { m.startsTurnedAway.Inc(1) }

// ZonesOutOfUse records how many zones the owner of a shard knows to be out of use.
func (m *Metrics) ZonesOutOfUse(shard string, n int) {
	m.scope.Tagged(map[string]string{"shard": shard}).Gauge("zones_out_of_use").Update(float64(n))
}

// WaitingForZone records how many startable tasks of a shard wait because its zone is out of use.
func (m *Metrics) WaitingForZone(shard string, n int) {
	m.scope.Tagged(map[string]string{"shard": shard}).Gauge("tasks_waiting_for_zone").Update(float64(n))
}

// ForecastError records by how much a job ended after the time expected at its admission, or
// before it, and whether it was in time.
func (m *Metrics) ForecastError(late time.Duration, inTime bool) {
	side := "late"
	if late < 0 {
		side, late = "early", -late
	}
	m.scope.Tagged(map[string]string{"end": side}).Histogram("forecast_error_seconds", latencies).RecordDuration(late)
	if !inTime {
		m.scope.Counter("admitted_jobs_late").Inc(1)
	}
}

// JobRefused counts a job of a queue that was refused for want of capacity.
func (m *Metrics) JobRefused(queue string) {
	m.scope.Tagged(map[string]string{"queue": queue}).Counter("jobs_refused").Inc(1)
}
