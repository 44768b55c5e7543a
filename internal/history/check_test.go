package history

import (
	"fmt"
	"testing"
	"time"

	"skylarkport/internal/job"
	"skylarkport/internal/resource"
	"skylarkport/internal/result"
)

const second = time.Second

func runID(attempt uint32) job.RunID {
	return job.RunID{Task: job.TaskID{Job: "b"}, Attempt: attempt}
}

func event(at time.Duration, kind RunEventKind, worker string, attempt uint32) RunEvent {
	return RunEvent{At: at, Kind: kind, Worker: worker, Incarnation: worker + "#1", Run: runID(attempt), Work: job.Batch}
}

// validInput returns an input without violations: a task that was evicted,
// resumed and finished, and requests that were answered, retried, refused and
// broken.
func validInput() Input {
	evicted := event(5*second, RunStopped, "w1", 1)
	evicted.Checkpoint = 100
	again := event(6*second, RunStarted, "w2", 2)
	again.Resume = 100
	finished := event(9*second, RunFinished, "w2", 2)
	finished.Checkpoint = 200
	return Input{
		Record: Record{
			Now:     time.Minute,
			Runs:    []RunEvent{event(second, RunStarted, "w1", 1), evicted, again, finished},
			Reports: []EndReport{{At: 9*second + 1, Incarnation: "w2#1", Run: runID(2)}},
			Executions: []Execution{
				{RequestID: "r1", Method: "GET", Service: "s", Outcome: Broken},
				{RequestID: "r1", Method: "GET", Service: "s", Outcome: Completed},
				{RequestID: "r2", Method: "POST", Service: "s", Outcome: NotRun, DrainingFor: DrainNoticeLimit},
				{RequestID: "r2", Method: "POST", Service: "s", Outcome: Completed},
				{RequestID: "r3", Method: "POST", Service: "s", Key: "k", Outcome: Completed},
			},
			Workers: []WorkerPeaks{{Worker: "w1", Committed: resource.Vector{MilliCPU: 1}, Capacity: resource.Vector{MilliCPU: 1}}},
		},
		Calls: []Call{
			{RequestID: "r1", Idempotent: true, Code: result.OK, Matches: true},
			{RequestID: "r2", Code: result.OK, Matches: true, Entry: "e1", Sent: 9 * second, Ended: 11 * second},
			{RequestID: "r3", Key: "k", Code: result.OK, Matches: true},
			{RequestID: "r4", Key: "k", Code: result.OK, Matches: true},
			{RequestID: "r5", Code: result.NoUpstream, NotRun: true},
			{RequestID: "r6", Broken: true, Entry: "e1", Sent: 11 * second, Ended: 12 * second},
		},
		Stops: []Stop{{Instance: "e1", At: 10 * second, Exited: 13 * second}},
		Versions: []Version{
			{"e1", second, 1},
			{"e1", 10 * second, 1},
			{"e1", 18 * second, 2},
		},
		Acceptances: []Acceptance{{Version: 2, At: 10 * second}},
		Expect:      []Expectation{{Job: "b", Finished: 1}},
	}
}

func TestCheck(t *testing.T) {
	tests := []struct {
		name   string
		modify func(*Input)
		want   []Rule
	}{
		{"no violation", func(*Input) {}, nil},
		{"a dropped record", func(in *Input) { in.Record.Totals.RecordsDropped = 1 }, []Rule{RecordComplete}},
		{"a request runs twice", func(in *Input) { in.repeatExecution(3) }, []Rule{AtMostOnce}},
		{"a key runs twice under another id", func(in *Input) {
			in.repeatExecution(4)
			in.Record.Executions[5].RequestID = "r4"
		}, []Rule{AtMostOnce}},
		{"a key runs twice, once without its header", func(in *Input) {
			in.repeatExecution(4)
			in.Record.Executions[5].RequestID, in.Record.Executions[5].Key = "r4", ""
		}, []Rule{AtMostOnce}},
		{"a request runs twice, once interrupted", func(in *Input) {
			in.repeatExecution(3)
			in.Record.Executions[5].Outcome = Broken
		}, []Rule{AtMostOnce}},
		{"two runs overlap", func(in *Input) { in.Record.Runs[2].At = 4 * second }, []Rule{NoConcurrentRuns}},
		{"the earlier run never ended", func(in *Input) {
			in.Record.Runs[1].Kind = RunRefused
			in.Record.Runs[2].Resume = 0
		}, []Rule{NoConcurrentRuns}},
		{"one run starts on two workers", func(in *Input) { in.Record.Runs[2].Run = runID(1) }, []Rule{NoConcurrentRuns}},
		{"a run starts again after a restart", func(in *Input) {
			in.Record.Runs[2].Run = runID(1)
			in.Record.Runs[2].Incarnation = "w1#2"
		}, []Rule{NoConcurrentRuns}},
		{"attempt numbers decrease", func(in *Input) {
			for i := range in.Record.Runs[:2] {
				in.Record.Runs[i].Run = runID(3)
			}
		}, []Rule{ResumesFromCheckpoint}},
		{"resumed from the start", func(in *Input) { in.Record.Runs[2].Resume = 0 }, []Rule{ResumesFromCheckpoint}},
		{"resumed beyond its checkpoint", func(in *Input) { in.Record.Runs[2].Resume = 101 }, []Rule{ResumesFromCheckpoint}},
		{"resumed twice", func(in *Input) {
			in.startThirdAttempt(7 * second)
		}, []Rule{NoConcurrentRuns}},
		{"started after its end was reported", func(in *Input) {
			in.startThirdAttempt(10 * second)
		}, []Rule{NoWorkLost}},
		{"started after an end that was not reported", func(in *Input) {
			in.Record.Reports = nil
			in.startThirdAttempt(10 * second)
		}, nil},
		{"started after its end, reported later", func(in *Input) {
			in.Record.Reports[0].At = 11 * second
			in.startThirdAttempt(10 * second)
		}, nil},
		{"finished twice", func(in *Input) {
			in.Record.Runs[1].Kind = RunFinished
			in.Record.Reports = append(in.Record.Reports, EndReport{At: 5*second + 1, Incarnation: "w1#1", Run: runID(1)})
		}, []Rule{NoWorkLost}},
		{"never finished", func(in *Input) { in.Record.Runs = in.Record.Runs[:3] }, []Rule{NoWorkLost}},
		{"never started again", func(in *Input) { in.Record.Runs = in.Record.Runs[:2] }, []Rule{NoWorkLost}},
		{"committed beyond the memory capacity", func(in *Input) { in.Record.Workers[0].Committed.MemoryMB = 1 }, []Rule{NoOvercommit}},
		{"overcommitted for an instant", func(in *Input) { in.Record.Workers[0].OvercommitCount = 1 }, []Rule{NoOvercommit}},
		{"a request beyond the slots", func(in *Input) { in.Record.Workers[0].SlotsRefused = 1 }, []Rule{WithinSlots}},
		{"a connection beyond the limit", func(in *Input) { in.Record.Workers[0].ConnsRefused = 1 }, []Rule{WithinSlots}},
		{"a response to another request", func(in *Input) { in.Calls[0].Matches = false }, []Rule{CompleteResponse}},
		{"a response that no upstream sent", func(in *Input) { in.Record.Executions[1].Outcome = Broken }, []Rule{CompleteResponse}},
		{"refused as not run, but ran", func(in *Input) {
			in.Calls[1].Code, in.Calls[1].NotRun = result.NoUpstream, true
		}, []Rule{NotRunAccurate}},
		{"a request to a draining upstream", func(in *Input) { in.Record.Executions[2].DrainingFor++ }, []Rule{NoWorkWhileDraining}},
		{"a graceful stop breaks a request in flight", func(in *Input) {
			in.Calls[1].Broken = true
		}, []Rule{GracefulStop}},
		{"a graceful stop breaks a request sent after the signal", func(in *Input) {
			in.Calls[1].Broken, in.Calls[1].Sent = true, 10*second+1
		}, []Rule{GracefulStop}},
		{"a request after the exit", func(in *Input) {
			in.Calls[1].Broken, in.Calls[1].Sent, in.Calls[1].Ended = true, 14*second, 15*second
		}, nil},
		{"a graceful stop exits with an error", func(in *Input) { in.Stops[0].ExitCode = 1 }, []Rule{GracefulStop}},
		{"a stopped run interrupts a request", func(in *Input) {
			in.Record.Executions[0].Outcome, in.Record.Executions[0].Run = Interrupted, runID(1)
		}, []Rule{GracefulStop}},
		{"an instance reverts to an older version", func(in *Input) {
			in.Versions = append(in.Versions, Version{"e1", 17 * second, 1})
		}, []Rule{BundleInForce}},
		{"an instance starts without a bundle", func(in *Input) {
			in.Versions = append(in.Versions, Version{"e1", 19 * second, 0}, Version{"e1", 26 * second, 0}, Version{"e1", 27 * second, 2})
		}, nil},
		{"an instance has no bundle for too long", func(in *Input) {
			in.Versions = append(in.Versions, Version{"e1", 19 * second, 0}, Version{"e1", 27 * second, 0})
		}, []Rule{BundleInForce}},
		{"an instance restarts with an older version", func(in *Input) {
			in.Versions = append(in.Versions, Version{"e1", 12 * second, 0}, Version{"e1", 13 * second, 2}, Version{"e1", 14 * second, 1})
		}, []Rule{BundleInForce}},
		{"an instance takes a version too late", func(in *Input) { in.Versions[2].Version = 1 }, []Rule{BundleInForce}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			in := validInput()
			tt.modify(&in)
			var got []Rule
			violations := Check(in)
			for _, v := range violations {
				got = append(got, v.Rule)
			}
			if fmt.Sprint(got) != fmt.Sprint(tt.want) {
				t.Errorf("Check() = %v, want %v", violations, tt.want)
			}
		})
	}
}

// repeatExecution records execution i a second time.
func (in *Input) repeatExecution(i int) {
	in.Record.Executions = append(in.Record.Executions, in.Record.Executions[i])
}

// startThirdAttempt records the start of a third attempt whose resumed progress
// is valid.
func (in *Input) startThirdAttempt(at time.Duration) {
	third := event(at, RunStarted, "w3", 3)
	third.Resume = 150
	in.Record.Runs = append(in.Record.Runs, third)
}
