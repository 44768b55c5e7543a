package standin

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"skylarkport/internal/contract"
	"skylarkport/internal/job"
	"skylarkport/internal/resource"
	"skylarkport/internal/result"
	"skylarkport/internal/settings"
)

const grant = 10 * time.Second

// owner acts as the shard that owns the first worker of a system, in virtual time.
type owner struct {
	t     *testing.T
	sys   *System
	addr  string
	id    string
	epoch uint64
	last  contract.ExchangeReply
}

// newOwner returns an owner that has read the worker's clock, which grants count from.
func newOwner(t *testing.T, cfg settings.Standin) *owner {
	t.Helper()
	sys := New(cfg)
	o := &owner{t: t, sys: sys, id: sys.workers[0].inst.ID, addr: sys.workers[0].inst.Address, epoch: 5}
	o.readState()
	return o
}

func (o *owner) readState() {
	o.t.Helper()
	o.mustSend(contract.ExchangeRequest{Worker: o.id, Epoch: o.epoch})
}

func (o *owner) send(req contract.ExchangeRequest) (contract.ExchangeReply, error) {
	return o.sys.Workers(from).Exchange(o.t.Context(), o.addr, req)
}

func (o *owner) mustSend(req contract.ExchangeRequest) {
	o.t.Helper()
	reply, err := o.send(req)
	if err != nil {
		o.t.Fatal(err)
	}
	o.last = reply
}

// sendCommands sends commands with a lease grant that counts from the last reply.
func (o *owner) sendCommands(req contract.ExchangeRequest) {
	o.t.Helper()
	o.mustSend(o.withGrant(req))
}

func (o *owner) withGrant(req contract.ExchangeRequest) contract.ExchangeRequest {
	req.Worker, req.Epoch, req.Incarnation = o.id, o.epoch, o.last.Incarnation
	req.Stamp, req.Grant = o.last.Stamp, job.Duration(grant)
	return req
}

// renew renews the lease every two seconds for d.
func (o *owner) renew(d time.Duration) {
	o.t.Helper()
	const every = 2 * time.Second
	for ; d > 0; d -= every {
		time.Sleep(min(d, every))
		o.sendCommands(contract.ExchangeRequest{})
	}
}

// runStates formats the runs of the last reply.
func (o *owner) runStates() string {
	var out []string
	for _, r := range o.last.Runs {
		s := fmt.Sprintf("%s %s", r.Run, r.State)
		if r.Reason != "" {
			s += " " + r.Reason
		}
		if r.Checkpoint != 0 {
			s += fmt.Sprintf(" at %d", r.Checkpoint)
		}
		out = append(out, s)
	}
	return strings.Join(out, "; ")
}

func (o *owner) wantRuns(runStates string) {
	o.t.Helper()
	if got := o.runStates(); got != runStates {
		o.t.Fatalf("runs: %q, want %q", got, runStates)
	}
}

func runOf(name string, attempt uint32) job.RunID {
	return job.RunID{Task: job.TaskID{Job: name}, Attempt: attempt}
}

// batch returns the command to start a run that takes 20 s at full speed and commits half
// of the worker.
func batch(id job.RunID) contract.StartCommand {
	return contract.StartCommand{
		Run: id, Kind: job.Batch, Family: id.Task.Job, RunTime: job.Duration(20 * time.Second),
		Commit: resource.Vector{MilliCPU: 2000, MemoryMB: 4000},
	}
}

func startRequest(commands ...contract.StartCommand) contract.ExchangeRequest {
	return contract.ExchangeRequest{Start: commands}
}

func TestExchangeRefusals(t *testing.T) {
	tests := []struct {
		name   string
		change func(*contract.ExchangeRequest)
		code   result.Code
	}{
		{"accepted", func(*contract.ExchangeRequest) {}, result.OK},
		{"same epoch", func(r *contract.ExchangeRequest) { r.Epoch = 5 }, result.OK},
		{"lower epoch", func(r *contract.ExchangeRequest) { r.Epoch = 4 }, result.WorkerEpoch},
		{"other incarnation", func(r *contract.ExchangeRequest) { r.Incarnation = "x" }, result.WorkerIncarnation},
		{"no incarnation", func(r *contract.ExchangeRequest) { r.Incarnation = "" }, result.WorkerIncarnation},
		{"commands without a stamp", func(r *contract.ExchangeRequest) { r.Stamp = 0 }, result.WorkerGrantExpired},
		{"stamp in the future", func(r *contract.ExchangeRequest) { r.Stamp += int64(time.Minute) }, result.WorkerGrantExpired},
		{"expired grant", func(r *contract.ExchangeRequest) { r.Grant = job.Duration(time.Second) }, result.WorkerGrantExpired},
		{"another worker", func(r *contract.ExchangeRequest) { r.Worker = "x" }, result.WorkerUnavailable},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				o := newOwner(t, testSettings())
				time.Sleep(time.Second)
				req := o.withGrant(startRequest(batch(runOf("b", 1))))
				req.Epoch = 6
				tt.change(&req)
				_, err := o.send(req)
				wantError(t, err, tt.code, contract.Refused)
				if started := o.sys.Totals().RunsStarted; (started == 1) != (err == nil) {
					t.Errorf("%d runs started with error %v", started, err)
				}
			})
		})
	}
}

// TestRuns checks the runs that a worker reports after sequences of commands and faults.
func TestRuns(t *testing.T) {
	tests := []struct {
		name  string
		steps func(*owner)
	}{
		{"finishes after its units", func(o *owner) {
			o.sendCommands(startRequest(batch(runOf("b", 1))))
			o.renew(19 * time.Second)
			o.wantRuns("b/0#1 running")
			o.renew(2 * time.Second)
			o.wantRuns("b/0#1 finished at 2000")
		}},
		{"repeated start", func(o *owner) {
			o.sendCommands(startRequest(batch(runOf("b", 1))))
			o.sendCommands(startRequest(batch(runOf("b", 1))))
			o.wantRuns("b/0#1 running")
		}},
		{"start after its stop and its forget", func(o *owner) {
			o.sendCommands(startRequest(batch(runOf("b", 1))))
			o.sendCommands(contract.ExchangeRequest{Stop: []contract.StopCommand{{Run: runOf("b", 1)}}})
			o.wantRuns("b/0#1 stopped stopped")
			o.sendCommands(startRequest(batch(runOf("b", 1))))
			o.wantRuns("b/0#1 stopped stopped")
			o.sendCommands(contract.ExchangeRequest{Forget: []job.RunID{runOf("b", 1)}})
			o.sendCommands(startRequest(batch(runOf("b", 1))))
			o.wantRuns("")
			o.sendCommands(startRequest(batch(runOf("b", 2))))
			o.wantRuns("b/0#2 running")
		}},
		{"stop comes before the start", func(o *owner) {
			o.sendCommands(contract.ExchangeRequest{Stop: []contract.StopCommand{{Run: runOf("b", 1)}}})
			o.sendCommands(startRequest(batch(runOf("b", 1))))
			o.wantRuns("b/0#1 stopped stopped")
		}},
		{"a running run is not forgotten", func(o *owner) {
			o.sendCommands(startRequest(batch(runOf("b", 1))))
			o.sendCommands(contract.ExchangeRequest{Forget: []job.RunID{runOf("b", 1)}})
			o.sendCommands(contract.ExchangeRequest{})
			o.wantRuns("b/0#1 running")
		}},
		{"no capacity", func(o *owner) {
			o.sendCommands(startRequest(batch(runOf("b", 1)), batch(runOf("c", 1)), batch(runOf("d", 1))))
			o.wantRuns("b/0#1 running; c/0#1 running; d/0#1 failed worker-full")
		}},
		{"no accelerator left", func(o *owner) {
			with := func(id job.RunID) contract.StartCommand {
				s := batch(id)
				s.Commit = resource.Vector{Accelerators: 1}
				return s
			}
			o.sendCommands(startRequest(with(runOf("b", 1)), with(runOf("c", 1))))
			o.wantRuns("b/0#1 running; c/0#1 failed worker-full")
		}},
		{"stop frees capacity in the same exchange", func(o *owner) {
			o.sendCommands(startRequest(batch(runOf("b", 1)), batch(runOf("c", 1))))
			req := startRequest(batch(runOf("d", 1)))
			req.Stop = []contract.StopCommand{{Run: runOf("b", 1)}}
			o.sendCommands(req)
			o.wantRuns("b/0#1 stopped stopped; c/0#1 running; d/0#1 running")
		}},
		{"a limit that does not fit changes nothing", func(o *owner) {
			o.sendCommands(startRequest(batch(runOf("b", 1)), batch(runOf("c", 1))))
			o.sendCommands(contract.ExchangeRequest{Limit: []contract.LimitCommand{{Run: runOf("b", 1), Commit: resource.Vector{MilliCPU: 2001, MemoryMB: 4000}}}})
			if got := o.last.Runs[0].Commit.MilliCPU; got != 2000 {
				o.t.Errorf("commitment %d", got)
			}
		}},
		{"a shrinking limit frees capacity for a growing one", func(o *owner) {
			o.sendCommands(startRequest(batch(runOf("b", 1)), batch(runOf("c", 1))))
			o.sendCommands(contract.ExchangeRequest{Limit: []contract.LimitCommand{
				{Run: runOf("b", 1), Commit: resource.Vector{MilliCPU: 3000, MemoryMB: 4000}},
				{Run: runOf("c", 1), Commit: resource.Vector{MilliCPU: 1000, MemoryMB: 4000}},
			}})
			if got := o.last.Runs[0].Commit.MilliCPU; got != 3000 {
				o.t.Errorf("commitment %d", got)
			}
		}},
		{"a throttled run is slower", func(o *owner) {
			o.sendCommands(startRequest(batch(runOf("b", 1))))
			o.sendCommands(contract.ExchangeRequest{Limit: []contract.LimitCommand{{Run: runOf("b", 1), Commit: resource.Vector{MilliCPU: 500, MemoryMB: 4000}}}})
			o.renew(21 * time.Second)
			o.wantRuns("b/0#1 running")
			o.renew(20 * time.Second)
			o.wantRuns("b/0#1 finished at 2000")
		}},
		{"checkpoint and resume", func(o *owner) {
			o.sendCommands(startRequest(batch(runOf("b", 1))))
			time.Sleep(5 * time.Second)
			o.sendCommands(contract.ExchangeRequest{Stop: []contract.StopCommand{{Run: runOf("b", 1), Checkpoint: true}}})
			o.wantRuns("b/0#1 stopped stopped at 500")
			again := batch(runOf("b", 2))
			again.Resume = 500
			o.sendCommands(startRequest(again))
			o.renew(16 * time.Second)
			o.wantRuns("b/0#1 stopped stopped at 500; b/0#2 finished at 2000")
		}},
		{"lease expiry stops every run", func(o *owner) {
			o.sendCommands(startRequest(batch(runOf("b", 1)), batch(runOf("c", 1))))
			time.Sleep(grant + time.Second)
			o.readState()
			o.wantRuns("b/0#1 stopped lease-lapsed; c/0#1 stopped lease-lapsed")
		}},
		{"a delayed grant is not extended", func(o *owner) {
			o.sendCommands(startRequest(batch(runOf("b", 1))))
			late := o.withGrant(contract.ExchangeRequest{})
			time.Sleep(grant - time.Second)
			o.mustSend(late)
			time.Sleep(2 * time.Second)
			o.readState()
			o.wantRuns("b/0#1 stopped lease-lapsed")
		}},
		{"an exchange without a stamp does not renew the lease", func(o *owner) {
			o.sendCommands(startRequest(batch(runOf("b", 1))))
			time.Sleep(grant - time.Second)
			o.readState()
			time.Sleep(2 * time.Second)
			o.readState()
			o.wantRuns("b/0#1 stopped lease-lapsed")
		}},
		{"lease expiry in a pause ends the runs", func(o *owner) {
			o.sendCommands(startRequest(batch(runOf("b", 1))))
			o.inject(Fault{Kind: Pause, Target: o.id, Duration: job.Duration(grant + time.Second)})
			time.Sleep(grant + 2*time.Second)
			o.readState()
			o.wantRuns("b/0#1 stopped lease-lapsed")
		}},
		{"a paused worker does not respond", func(o *owner) {
			o.inject(Fault{Kind: Pause, Target: o.id})
			_, err := o.send(contract.ExchangeRequest{Worker: o.id, Epoch: o.epoch})
			wantError(o.t, err, result.WorkerUnavailable, contract.Unknown)
			o.inject(Fault{Kind: Resume, Target: o.id})
			o.readState()
		}},
		{"a short pause only delays the run", func(o *owner) {
			o.sendCommands(startRequest(batch(runOf("b", 1))))
			o.inject(Fault{Kind: Pause, Target: o.id, Duration: job.Duration(5 * time.Second)})
			time.Sleep(5 * time.Second)
			o.renew(18 * time.Second)
			o.wantRuns("b/0#1 running")
			o.renew(4 * time.Second)
			o.wantRuns("b/0#1 finished at 2000")
		}},
		{"a restart is a new incarnation", func(o *owner) {
			o.sendCommands(startRequest(batch(runOf("b", 1))))
			old := o.withGrant(startRequest(batch(runOf("c", 1))))
			o.inject(Fault{Kind: Restart, Target: o.id})
			_, err := o.send(old)
			wantError(o.t, err, result.WorkerIncarnation, contract.Refused)
			o.readState()
			o.wantRuns("")
		}},
		{"a killed worker is unavailable", func(o *owner) {
			o.inject(Fault{Kind: Kill, Target: o.id})
			_, err := o.send(contract.ExchangeRequest{Worker: o.id, Epoch: o.epoch})
			wantError(o.t, err, result.WorkerUnavailable, contract.Refused)
		}},
		{"an exchange without a stamp raises the epoch", func(o *owner) {
			old := o.withGrant(startRequest(batch(runOf("b", 1))))
			o.epoch = 6
			o.readState()
			_, err := o.send(old)
			wantError(o.t, err, result.WorkerEpoch, contract.Refused)
		}},
		{"images that fail and never end", func(o *owner) {
			bad, endless := batch(runOf("b", 1)), batch(runOf("c", 1))
			bad.Image, endless.Image = imageFail, imageNever
			o.sendCommands(startRequest(bad, endless))
			o.renew(60 * time.Second)
			o.wantRuns("b/0#1 failed failed; c/0#1 running")
		}},
		{"a worker that fails everything", func(o *owner) {
			o.inject(Fault{Kind: FailAll, Target: o.id})
			o.sendCommands(startRequest(batch(runOf("b", 1))))
			o.renew(time.Second)
			o.wantRuns("b/0#1 failed failed")
		}},
		{"an exchange that takes effect late", func(o *owner) {
			o.inject(Fault{Kind: Late, Target: o.id, Delay: job.Duration(time.Minute), Count: 1})
			_, err := o.send(o.withGrant(startRequest(batch(runOf("b", 1)))))
			wantError(o.t, err, result.WorkerUnavailable, contract.Unknown)
			time.Sleep(time.Minute)
			o.readState()
			o.wantRuns("")
		}},
		{"a response lost after the start", func(o *owner) {
			o.inject(Fault{Kind: LostResponse, Target: "workers", Count: 1})
			_, err := o.send(o.withGrant(startRequest(batch(runOf("b", 1)))))
			wantError(o.t, err, result.WorkerUnavailable, contract.Unknown)
			o.readState()
			o.wantRuns("b/0#1 running")
		}},
		{"another zone is partitioned", func(o *owner) {
			o.inject(Fault{Kind: Partition, From: zone, To: "tokachi"})
			o.readState()
			other := o.sys.workers[2].inst
			_, err := o.sys.Workers(from).Exchange(o.t.Context(), other.Address, contract.ExchangeRequest{Worker: other.ID})
			wantError(o.t, err, result.WorkerUnavailable, contract.Unknown)
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { tt.steps(newOwner(t, testSettings())) })
		})
	}
}

func (o *owner) inject(f Fault) {
	o.t.Helper()
	if err := o.sys.Inject(f); err != nil {
		o.t.Fatal(err)
	}
}

// TestReports checks that the end of a run is recorded as reported once, and not by an
// exchange whose response was lost.
func TestReports(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newOwner(t, testSettings())
		o.sendCommands(startRequest(batch(runOf("b", 1))))
		o.inject(Fault{Kind: LostResponse, Target: "workers", Count: 1})
		if _, err := o.send(o.withGrant(contract.ExchangeRequest{Stop: []contract.StopCommand{{Run: runOf("b", 1)}}})); err == nil {
			t.Fatal("the response was not lost")
		}
		if r := o.sys.History().Reports; len(r) != 0 {
			t.Errorf("reports %v after a lost response", r)
		}
		time.Sleep(time.Second)
		o.readState()
		o.readState()
		if r := o.sys.History().Reports; len(r) != 1 || r[0].At != time.Second || r[0].Run != runOf("b", 1) {
			t.Errorf("reports %v", r)
		}
	})
}

func TestNeighboursSlowDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cfg := testSettings()
		cfg.Interference = []settings.StandinInterference{{Victim: "b", Neighbour: "c", Slowdown: 1}}
		o := newOwner(t, cfg)
		noisy := batch(runOf("c", 1))
		noisy.RunTime = job.Duration(10 * time.Second)
		o.sendCommands(startRequest(batch(runOf("b", 1)), noisy))
		o.renew(24 * time.Second)
		o.wantRuns("b/0#1 running; c/0#1 finished at 1000")
		o.renew(2 * time.Second)
		o.wantRuns("b/0#1 finished at 2000; c/0#1 finished at 1000")
	})
}

func TestUsageLags(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cfg := testSettings()
		cfg.UsageLag = job.Duration(3 * time.Second)
		o := newOwner(t, cfg)
		o.sendCommands(startRequest(batch(runOf("b", 1))))
		if at := o.last.Runs[0].Usage.MeasuredAt; at != 0 {
			t.Errorf("a measurement of %d without lag", at)
		}
		o.renew(8 * time.Second)
		u := o.last.Runs[0].Usage
		if age := time.Duration(o.last.Stamp - u.MeasuredAt); age < 3*time.Second || age > 5*time.Second {
			t.Errorf("the measurement is %v old", age)
		}
		if u.Rate != 100 || u.Progress != 400 || u.Used.MilliCPU != 1000 {
			t.Errorf("usage %+v", u)
		}
	})
}

func TestHistoryOfRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newOwner(t, testSettings())
		o.sendCommands(startRequest(batch(runOf("b", 1)), batch(runOf("c", 1)), batch(runOf("d", 1))))
		time.Sleep(time.Minute)
		var got []string
		for _, e := range o.sys.History().Runs {
			got = append(got, fmt.Sprintf("%s %s %v", e.Run, e.Kind, e.At))
		}
		want := "b/0#1 started 0s; c/0#1 started 0s; d/0#1 refused 0s; b/0#1 lapsed 10s; c/0#1 lapsed 10s"
		if s := strings.Join(got, "; "); s != want {
			t.Errorf("history %q, want %q", s, want)
		}
		p := o.sys.History().Workers[0]
		if p.Committed.MilliCPU != 4000 || p.OvercommitCount != 0 {
			t.Errorf("peaks %+v", p)
		}
	})
}

func TestRateLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cfg := testSettings()
		cfg.WritesPerSec, cfg.ReadsPerSec = 3, 3
		tables := New(cfg).Tables(from)
		ctx := t.Context()
		check := contract.Write{Key: key("a"), If: contract.Always, Do: contract.Check}
		writes := []contract.Write{put("a", contract.Always, 0, ""), put("b", contract.Always, 0, ""), put("c", contract.Always, 0, "")}
		for _, want := range []result.Code{result.OK, result.PlatformLimited} {
			_, err := tables.Commit(ctx, writes)
			wantError(t, err, want, contract.Refused)
		}
		_, err := tables.Commit(ctx, []contract.Write{check})
		wantError(t, err, result.OK, contract.Refused)
		for _, want := range []result.Code{result.OK, result.PlatformLimited} {
			_, err := tables.Scan(ctx, "t", "", "", 10)
			wantError(t, err, want, contract.Refused)
		}
		time.Sleep(time.Second)
		_, err = tables.Commit(ctx, writes)
		wantError(t, err, result.OK, contract.Refused)
		_, err = tables.Read(ctx, key("a"))
		wantError(t, err, result.OK, contract.Refused)
	})
}

func TestListLags(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cfg := testSettings()
		cfg.ListLag = job.Duration(5 * time.Second)
		sys := New(cfg)
		if err := sys.SetInstanceState("e1", Gone); err != nil {
			t.Fatal(err)
		}
		for _, want := range []int{4, 3} {
			list, err := sys.Instances(from).List(t.Context())
			if err != nil || len(list) != want {
				t.Errorf("%d instances, %v, want %d", len(list), err, want)
			}
			time.Sleep(6 * time.Second)
		}
	})
}
