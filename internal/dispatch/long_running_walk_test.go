package dispatch

import (
	"cmp"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"skylarkport/internal/fleetfake"
	"skylarkport/internal/resource"
	"skylarkport/internal/workload"
)

var (
	walkSeeds = flag.Int("walk-seeds", 24, "number of seeds of TestLongRunningWalk")
	walkFirst = flag.Uint64("walk-first", 1, "first seed of TestLongRunningWalk")
	// A further series doesn't change the earlier ones of its seed.
	walkSeries = flag.Int("walk-series", 1, "series of events of each seed of TestLongRunningWalk")
)

const (
	walkTick = 100 * time.Millisecond
	// walkSettle is the time without an event after which a task may no longer wait.
	walkSettle = 7 * time.Second
	// walkRoom is how long there must have been capacity for the task, without interruption.
	walkRoom = 3 * time.Second
	// walkQuiet follows each series of events. A lease that is lost with the last event ends
	// six seconds later.
	walkQuiet = 17 * time.Second
)

// walkEvent is a change of the fleet or a fault, or a burst of jobs.
type walkEvent struct {
	at   time.Duration
	name string
	do   func()
	load bool // a burst of jobs, which is no disturbance
}

// walkTask is a long-running task and what the samples have shown of it.
type walkTask struct {
	name     string
	job      *workload.Spec
	ran      bool
	lastRun  time.Duration // when it was last seen running
	roomFrom time.Duration // since when there has been capacity for it twice over; 0 for none
}

// walk is one random walk. The seed determines its events and their times.
type walk struct {
	net     *shardNet
	first   *testCluster
	rand    *rand.Rand
	workers map[string][]string // by shard, those that have not left
	added   int
	jobs    map[string]*workload.Spec
	tasks   []*walkTask
	events  []walkEvent
	end     time.Duration // of the last event so far

	mu      sync.Mutex // guards the following
	failing map[string]bool
}

// TestLongRunningWalk disturbs a fleet at random. Whenever it has been left alone for
// walkSettle, no long-running task may have had no run for lostAfter while there was capacity
// for it twice over for walkRoom. Tasks that never ran don't count. A longer run:
//
//	go test ./internal/dispatch -run '^TestLongRunningWalk$' -walk-first 1000 -walk-seeds 700 -walk-series 2
func TestLongRunningWalk(t *testing.T) {
	for i := range uint64(*walkSeeds) {
		seed := *walkFirst + i
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			runWalk(t, seed)
		})
	}
}

// runWalk runs the walk of a seed.
func runWalk(t *testing.T, seed uint64) {
	r := rand.New(rand.NewPCG(seed, 7))
	sizes := make([]int, 2+r.IntN(3))
	for i := range sizes {
		sizes[i] = 3 + r.IntN(6)
	}
	withShards(t, sizes, func(net *shardNet) {
		net.byLoad = true
		w := newWalk(net, r, sizes)
		w.submitServices()
		time.Sleep(3 * time.Second)
		for range *walkSeries {
			w.schedule()
		}
		if found := w.run(); found != "" {
			t.Errorf("seed %d, %d series, workers %v\n%s", seed, *walkSeries, sizes, found)
		}
	})
}

func newWalk(net *shardNet, r *rand.Rand, sizes []int) *walk {
	w := &walk{
		net: net, first: net.shards["a"], rand: r,
		workers: map[string][]string{}, jobs: map[string]*workload.Spec{}, failing: map[string]bool{},
	}
	for i, name := range net.names {
		for k := range sizes[i] {
			w.workers[name] = append(w.workers[name], fmt.Sprintf("%s%02d", name, k))
		}
	}
	w.first.workers.SetDuration(w.duration)
	w.first.workers.SetFails(w.fails)
	return w
}

// duration returns how long a run takes: the time that its job declares or, for a long-running
// task, until it is to fail.
func (w *walk) duration(task string) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	step := w.stepOf(task)
	if !step.LongRunning {
		return time.Duration(step.EstimateMillis) * time.Millisecond
	}
	if w.failing[task] {
		return 0
	}
	return time.Hour
}

// fails reports whether a run fails at its end. The next run of the task works again.
func (w *walk) fails(task string, _ int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	defer delete(w.failing, task)
	return w.failing[task]
}

func (w *walk) stepOf(task string) *workload.Step {
	job, _, _ := strings.Cut(task, ".")
	return &w.jobs[job].Steps[0]
}

// newJob returns a job whose id tells its kind and number.
func (w *walk) newJob(kind, queue string, tasks int, milliCPU int64) *workload.Spec {
	spec := jobWithSteps(fmt.Sprintf("%s%03d", kind, len(w.jobs)), queue, tasks)
	spec.Steps[0].Needs = resource.Vector{MilliCPU: milliCPU, MemoryMB: 500 + milliCPU/4}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.jobs[spec.ID] = &spec
	return &spec
}

// submitServices submits long-running jobs that need 70 to 95% of the CPU of each shard.
func (w *walk) submitServices() {
	for _, name := range w.net.names {
		left := int64(len(w.workers[name])) * 8000 * int64(70+w.rand.IntN(26)) / 100
		for left >= 1000 {
			size := min(int64(1000*(1+w.rand.IntN(6))), left/1000*1000)
			spec := w.newJob("service", "short", 1+w.rand.IntN(int(min(left/size, 6))), size)
			spec.Steps[0].LongRunning = true
			spec.Steps[0].MaxPerWorker = w.rand.IntN(2) * w.rand.IntN(3)
			left -= spec.Steps[0].MilliCPU()
			w.net.shards[name].submit(*spec)
			for i := range spec.Steps[0].Tasks {
				w.tasks = append(w.tasks, &walkTask{name: workload.TaskID{Job: spec.ID, Index: i}.String(), job: spec})
			}
		}
	}
}

// run executes the events and returns a description of the first violation, or "".
func (w *walk) run() string {
	slices.SortStableFunc(w.events, func(a, b walkEvent) int { return cmp.Compare(a.at, b.at) })
	began, next, last := time.Now(), 0, time.Duration(0)
	for now := time.Duration(0); now < w.end; now = time.Since(began) {
		for ; next < len(w.events) && w.events[next].at <= now; next++ {
			w.events[next].do()
			if !w.events[next].load {
				last = now
			}
		}
		states := w.first.workers.States()
		for _, t := range w.tasks {
			if w.sample(t, states, now) && now-last >= walkSettle {
				return w.describe(t, states, next, now)
			}
		}
		time.Sleep(walkTick)
	}
	return ""
}

// sample records what the workers say about t, and reports whether it has been without a run
// for lostAfter while there was capacity for it twice over for walkRoom.
func (w *walk) sample(t *walkTask, states []fleetfake.WorkerState, now time.Duration) bool {
	places := 0
	for _, st := range states {
		if slices.Contains(st.Tasks, t.name) {
			t.ran, t.lastRun, t.roomFrom = true, now, 0
			return false
		}
		if st.AcceptsRuns {
			places += w.places(t, st)
		}
	}
	if !t.ran || places < 2 {
		t.roomFrom = 0
		return false
	}
	if t.roomFrom == 0 {
		t.roomFrom = now
	}
	return now-t.lastRun >= lostAfter+walkTick && now-t.roomFrom >= walkRoom
}

// free returns the capacity that the runs on a worker leave.
func (w *walk) free(st fleetfake.WorkerState) resource.Vector {
	free := st.Capacity
	for _, task := range st.Tasks {
		free = free.Sub(w.stepOf(task).Committed())
	}
	return free
}

// places returns how many tasks like t fit on a worker beside its runs.
func (w *walk) places(t *walkTask, st fleetfake.WorkerState) int {
	step := &t.job.Steps[0]
	free, n := w.free(st), 0
	for ; step.Needs.Fits(free); n++ {
		free = free.Sub(step.Needs)
	}
	if step.MaxPerWorker == 0 {
		return n
	}
	same := 0
	for _, task := range st.Tasks {
		if strings.HasPrefix(task, t.job.ID+".") {
			same++
		}
	}
	return max(0, min(n, step.MaxPerWorker-same))
}

// describe returns what is needed to replay and to trace a violation.
func (w *walk) describe(t *walkTask, states []fleetfake.WorkerState, events int, now time.Duration) string {
	var b strings.Builder
	for _, e := range w.events[:events] {
		if !e.load {
			fmt.Fprintf(&b, "%6s %s\n", e.at, e.name)
		}
	}
	step := &t.job.Steps[0]
	fmt.Fprintf(&b, "%6s %s (%d mcpu, at most %d per worker): no run since %s, capacity since %s\n",
		now, t.name, step.Needs.MilliCPU, step.MaxPerWorker, t.lastRun, t.roomFrom)
	for _, name := range w.net.names {
		b.WriteString(w.net.shards[name].shard().describeTask(t.name))
	}
	for _, st := range states {
		fmt.Fprintf(&b, "%s accepts runs: %v, free %d mcpu, %d MB, runs %v\n",
			st.ID, st.AcceptsRuns, w.free(st).MilliCPU, w.free(st).MemoryMB, st.Tasks)
	}
	return b.String()
}

// describeTask returns what the shard knows about a task, or "".
func (s *Shard) describeTask(name string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	t, _, err := s.taskByName(name)
	if err != nil || t == nil {
		return ""
	}
	return fmt.Sprintf("%s: phase %d, stage %d, run %d, worker %q, wait %s (%s), to %q, refused by %v\n",
		s.cfg.Name, t.Phase, t.stage, t.Run, t.Worker, s.now()-t.pendingSince, t.waitReason, t.lendTo, t.refusedBy)
}
