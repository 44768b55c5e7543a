package shard

import (
	"context"
	"fmt"
	"io"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/text"
	"github.com/google/go-cmp/cmp"

	"skylarkport/internal/bundle"
	"skylarkport/internal/contract"
	"skylarkport/internal/history"
	"skylarkport/internal/job"
	"skylarkport/internal/journal"
	"skylarkport/internal/platform"
	"skylarkport/internal/resource"
	"skylarkport/internal/settings"
	"skylarkport/internal/standin"
)

const (
	testZone  = "ishikari"
	testShard = testZone + "/0"
)

// observer is an instance outside the zones that network partitions affect.
var observer = platform.Caller{Zone: "elsewhere", Instance: "observer"}

// placementDefaults holds no settings, so that the defaults apply.
var placementDefaults = bundle.Placement{}

// testEnv is a simulated platform (package standin) with its workers and the owners
// of one shard, in virtual time.
type testEnv struct {
	t              *testing.T
	sys            *standin.System
	workers        int
	cfg            Config
	mu             sync.Mutex
	owners         map[string]*running
	nextRow        atomic.Int64
	killed         map[string]bool      // incarnations of workers that were killed
	finishReported func(job.RunID) bool // whether an owner received the finish of a run
}

type running struct {
	o    *Owner
	stop context.CancelFunc
	done chan error
}

func newTestEnv(t *testing.T, workers int, cfg settings.Standin) *testEnv {
	t.Helper()
	cfg.Workers = settings.StandinWorkers{
		IP: "127.0.0.1", BasePort: 20000, RackSize: 8,
		Capacity: resource.Vector{MilliCPU: 8000, MemoryMB: 16000, Accelerators: 1},
	}
	cfg.Zones = []settings.StandinZone{{Name: testZone, Workers: workers}}
	if cfg.CallTimeout == 0 {
		cfg.CallTimeout = job.Duration(2 * time.Second)
	}
	return &testEnv{
		t: t, sys: standin.New(cfg), workers: workers,
		cfg: Config{
			Shard: testShard, Zone: testZone, LeaseDuration: 10 * time.Second, LeaseBound: 15 * time.Minute,
			ExchangeInterval: time.Second, CycleInterval: 500 * time.Millisecond, CommitWindow: 100 * time.Millisecond,
		},
		owners: map[string]*running{}, killed: map[string]bool{},
	}
}

func (env *testEnv) callerOf(name string) platform.Caller {
	return platform.Caller{Zone: testZone, Instance: name}
}

func (env *testEnv) platform(name string) Platform {
	from := env.callerOf(name)
	return Platform{
		Tables: env.sys.Tables(from), Objects: env.sys.Objects(from), Workers: env.sys.Workers(from),
		Fleet: env.fleet,
	}
}

func (env *testEnv) fleet() []contract.Instance {
	list, err := env.sys.Instances(observer).List(context.Background())
	if err != nil {
		return nil
	}
	var out []contract.Instance
	for _, i := range list {
		if i.Role == contract.WorkerRole {
			out = append(out, i)
		}
	}
	return out
}

func discardLogger() log.Interface {
	return &log.Logger{Handler: text.New(io.Discard), Level: log.ErrorLevel}
}

// openOwner starts an owner with the given name and the default policy.
func (env *testEnv) openOwner(name string) (*running, error) {
	cfg := env.cfg
	cfg.Owner = name
	return env.openOwnerWithPolicy(cfg, env.platform(name), NewPolicy(bundle.Placement{}))
}

// openOwnerWithPolicy takes over the shard of cfg with a new owner and runs the owner in
// the background.
func (env *testEnv) openOwnerWithPolicy(cfg Config, ext Platform, policy Policy) (*running, error) {
	ctx, stop := context.WithCancel(context.Background())
	o, err := Open(ctx, cfg, ext, policy, discardLogger())
	if err != nil {
		stop()
		return nil, err
	}
	r := &running{o: o, stop: stop, done: make(chan error, 1)}
	go func() { r.done <- o.Run(ctx) }()
	env.mu.Lock()
	defer env.mu.Unlock()
	env.owners[cfg.Owner] = r
	return r, nil
}

// mustOpen is openOwner for tests in which it must succeed.
func (env *testEnv) mustOpen(name string) *running {
	env.t.Helper()
	r, err := env.openOwner(name)
	if err != nil {
		env.t.Fatalf("open %s: %v", name, err)
	}
	return r
}

// owner returns the owner with the highest epoch that has not lost the shard, or nil.
func (env *testEnv) owner() *Owner {
	env.mu.Lock()
	defer env.mu.Unlock()
	var best *Owner
	for _, r := range env.owners {
		select {
		case <-r.o.log.OwnershipLost():
			continue
		default:
		}
		if best == nil || r.o.Epoch() > best.Epoch() {
			best = r.o
		}
	}
	return best
}

// close stops every owner gracefully.
func (env *testEnv) close() {
	env.mu.Lock()
	defer env.mu.Unlock()
	for _, r := range env.owners {
		r.stop()
	}
	for name, r := range env.owners {
		<-r.done
		delete(env.owners, name)
	}
}

// submitWithRetry writes the inbox row of an accepted submission. It retries until the write
// succeeds, so that faults cannot prevent it.
func (env *testEnv) submitWithRetry(spec job.Spec) {
	env.t.Helper()
	m := Message{Admit: &AdmitRecord{Spec: &spec, Submitted: time.Now().UnixMilli(), To: spec.Tasks}}
	env.send(m)
}

func (env *testEnv) cancel(id string) { env.send(Message{Cancel: []string{id}}) }

func (env *testEnv) send(m Message) { env.sendTo(testShard, m) }

func (env *testEnv) sendTo(shard string, m Message) {
	env.t.Helper()
	key := InboxKey(shard, fmt.Sprintf("%020d", env.nextRow.Add(1)))
	for {
		_, err := env.sys.Tables(observer).Commit(context.Background(), []contract.Write{{Key: key, If: contract.IfAbsent, Do: contract.Put, Value: m.Encode()}})
		if err == nil || contract.IsConflict(err) {
			return
		}
		time.Sleep(time.Second)
	}
}

func batch(id string, tasks int, run time.Duration) job.Spec {
	return job.Spec{
		ID: id, Organisation: "kizuna", Kind: job.Batch, Family: "renewal", Tasks: tasks, RunTime: job.Duration(run),
		Needs: resource.Vector{MilliCPU: 1000, MemoryMB: 1000}, Retries: 3,
	}
}

func service(id string, tasks int) job.Spec {
	s := batch(id, tasks, 0)
	s.Kind, s.Family, s.Target = job.Service, id, job.Duration(50*time.Millisecond)
	return s
}

// audit checks the simulated platform's history of the runs against the rules of
// package history and the expected jobs, and returns the violations. It also reports
// runs that a worker refused.
func (env *testEnv) audit(expect ...history.Expectation) []string {
	env.sys.Advance()
	var out []string
	for _, v := range history.Check(history.Input{Record: env.historyWithLostFinishes(), Expect: expect}) {
		out = append(out, string(v.Rule)+": "+v.Detail)
	}
	for _, e := range env.sys.History().Runs {
		if e.Kind == history.RunRefused {
			out = append(out, fmt.Sprintf("%s was refused by %s: too little free capacity", e.Run, e.Worker))
		}
	}
	return out
}

// historyWithLostFinishes returns the simulated platform's history. A finish on a
// killed worker that no reply reported to an owner counts as a lost run, because no
// owner can know of it.
func (env *testEnv) historyWithLostFinishes() history.Record {
	r := env.sys.History()
	for i := range r.Runs {
		e := &r.Runs[i]
		if env.killed[e.Incarnation] && e.Kind == history.RunFinished && !env.finishReported(e.Run) {
			e.Kind = history.RunLost
		}
	}
	return r
}

// checkReplay checks that replaying the journal gives the durable state that the owner
// ended with.
func (env *testEnv) checkReplay(o *Owner) []string {
	l, replay, err := journal.Open(context.Background(), env.sys.Tables(observer), env.sys.Objects(observer), testShard, "auditor", journal.Options{})
	if err != nil {
		return []string{err.Error()}
	}
	defer l.Close()
	again := &Owner{log: l, runs: map[job.RunID]*runInfo{}, workers: map[string]*worker{}, waits: map[job.TaskID]*waitInfo{}}
	if err := again.rebuild(replay); err != nil {
		return []string{"replay: " + err.Error()}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if diff := cmp.Diff(string(o.durableState.Encode()), string(again.durableState.Encode())); diff != "" {
		return []string{"the replayed state differs: " + diff}
	}
	return nil
}

func (env *testEnv) mustAudit(expect ...history.Expectation) {
	env.t.Helper()
	for _, s := range env.audit(expect...) {
		env.t.Error(s)
	}
}

// states returns the number of the job's tasks in each state, as the owner reports them.
func (env *testEnv) states(o *Owner, id string) string {
	counts := map[string]int{}
	var order []string
	for _, t := range o.Tasks(id) {
		s := string(t.State)
		if counts[s] == 0 {
			order = append(order, s)
		}
		counts[s]++
	}
	parts := make([]string, len(order))
	for i, s := range order {
		parts[i] = fmt.Sprintf("%s=%d", s, counts[s])
	}
	return strings.Join(parts, " ")
}
