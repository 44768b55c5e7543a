package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"
)

func init() { cases["soak"] = soak }

// randomJob returns a job of a random kind, and its queue.
func (l *lab) randomJob(rng *rand.Rand) (*job, string) {
	j := &job{millis: 300 + rng.IntN(1500)}
	prefix := quick
	failShare := 0.03
	one := step{Count: 1 + rng.IntN(6), Cpu: int64(500 + rng.IntN(4000)), MemMb: 1000, EstimatedMs: j.millis}
	switch rng.IntN(10) {
	case 0, 1:
		j.Steps = []step{one}
	case 2:
		j.Steps = []step{one, {Count: 1 + rng.IntN(4), Cpu: 2000, MemMb: 800, EstimatedMs: 500, After: []int{0}}}
	case 3, 4:
		prefix = batch
		one.Checkpointing = true
		one.Count += 4
		j.Steps = []step{one, {Count: 2, Cpu: 1000, MemMb: 500, After: []int{0}}}
		j.millis += 1500
	case 5:
		prefix = batch
		one.Gang, one.RackLocal, one.Checkpointing = true, rng.IntN(2) == 0, rng.IntN(2) == 0
		one.Count = 2 + rng.IntN(5)
		j.Steps = []step{one}
	case 6:
		one.Requirements = []string{"a", "b", "r-1", "r-2"}[rng.IntN(l.labels)]
		j.Steps = []step{one}
	case 7:
		one.AntiAffinity = 1
		one.Count = 2 + rng.IntN(3)
		j.Steps = []step{one}
	case 8:
		j.RepeatCount, j.IntervalMs, j.StartAtMs = 2+rng.IntN(4), int64(700+rng.IntN(2000)), time.Now().UnixMilli()+int64(rng.IntN(4000))
		one.Count = 1 + rng.IntN(3)
		j.Steps = []step{one}
		if rng.IntN(2) == 0 {
			j.Steps = append(j.Steps, step{Count: 1, Cpu: 500, MemMb: 100, After: []int{0}})
		}
	case 9:
		prefix = watch
		one.LongRunning, one.Count, one.MissAllowed = true, 1+rng.IntN(3), 1
		if rng.IntN(3) == 0 {
			one.Gang = true
		}
		j.Steps = []step{one}
		failShare = 0.1
	}
	seed := rng.Uint64()
	j.fails = func(task string, run int) time.Duration {
		h := rand.New(rand.NewPCG(seed, uint64(run)*31+uint64(len(task))+uint64(task[len(task)-1])))
		if h.Float64() < failShare {
			return time.Duration(100+h.IntN(400)) * time.Millisecond
		}
		return 0
	}
	return j, prefix
}

// soak hands in jobs of all kinds beside disturbances drawn from a seed.
func soak(dir, binary string) {
	seed, _ := strconv.ParseUint(os.Getenv("SEED"), 10, 64)
	rng := rand.New(rand.NewPCG(seed, 7))
	length := 60 * time.Second
	racks := [][]string{{"a", "a", "a", "b"}, {"a", "a", "b", "b"}, {"a", "a", "a", "a"}}
	if os.Getenv("WIDE") != "" { // more than one shard
		racks = nil
		for range 9 {
			racks = append(racks, []string{"a", "a", "a", "a", "a", "b", "b", "a"})
		}
		capacity = amounts{Cpu: 6000, MemMb: 32000}
	}
	l := start(dir, binary, 4, racks, func(settings map[string]any) {
		if keep := os.Getenv("KEEPENDED"); keep != "" {
			settings["bounds"].(map[string]any)["keep_ended"] = keep
		}
	})
	l.labels = 4
	if os.Getenv("WIDE") != "" {
		l.labels = 2 // those that every shard has
	}
	stop := make(chan struct{})
	go l.judge.watch(stop)
	end := time.Now().Add(length)
	var mu sync.Mutex
	type handed struct {
		j      *job
		prefix string
	}
	var all []handed
	var wg sync.WaitGroup
	go func() {
		if !l.trouble {
			return
		}
		drng := rand.New(rand.NewPCG(seed, 8))
		for time.Now().Before(end.Add(-4 * time.Second)) {
			time.Sleep(time.Duration(500+drng.IntN(5000)) * time.Millisecond)
			l.disturbOnce(drng)
		}
	}()
	for time.Now().Before(end) {
		time.Sleep(time.Duration(60+rng.IntN(160)) * time.Millisecond)
		j, prefix := l.randomJob(rng)
		cancelAfter := time.Duration(0)
		if rng.IntN(8) == 0 || j.lasts() && rng.IntN(2) == 0 {
			cancelAfter = time.Duration(200+rng.IntN(6000)) * time.Millisecond
		}
		late := rng.IntN(20) == 0
		wg.Go(func() {
			ok := l.clients.submit(prefix, j)
			mu.Lock()
			all = append(all, handed{j, prefix})
			mu.Unlock()
			if ok && late {
				time.Sleep(time.Second)
				l.clients.submit(prefix, j)
			}
			if ok && cancelAfter > 0 {
				time.Sleep(cancelAfter)
				l.clients.drop(prefix, j)
			}
		})
	}
	wg.Wait()
	l.quiet()
	time.Sleep(finish + 4*time.Second)
	for _, h := range all {
		if _, ok := h.j.accepted(); !ok {
			continue
		}
		state := ""
		for range 5 {
			if state = l.clients.stateOf(h.prefix, h.j); state != "" {
				break
			}
			time.Sleep(200 * time.Millisecond)
		}
		l.checkFinal(h.j, state)
	}
	close(stop)
	l.finish()
}

// checkFinal checks the state of an accepted job that nobody has cancelled.
func (l *lab) checkFinal(j *job, state string) {
	l.judge.mu.Lock()
	defer l.judge.mu.Unlock()
	l.judge.logLocked("GET   %s -> %q", j.ID, state)
	undone, crashed := 0, 0
	for k := range max(1, j.RepeatCount) {
		for s := range j.Steps {
			for i := range j.Steps[s].Count {
				t := l.judge.task(fmt.Sprintf("%s.%d.%d.%d", j.ID, k, s, i))
				if !t.done {
					undone++
				}
				crashed = max(crashed, t.crashes)
			}
		}
	}
	gang := j.Steps[0].Gang
	switch state {
	case "completed":
		if undone > 0 && !gang {
			l.judge.violationLocked("MIXED", "job %s is completed with %d tasks that have not ended done", j.ID, undone)
		}
	case "failed":
		if !l.failedTwice(j) && crashed < 2 {
			l.judge.violationLocked("LOST", "job %s is failed without cause", j.ID)
		}
	case "running", "queued":
		if j.lasts() {
			return
		}
		if l.judge.stands(j) && l.judge.roomTwice(j.ID+".0.0.0", &j.Steps[0]) && l.judge.halfIdle() {
			l.judge.violationLocked("LOST", "job %s is still %s, has %d tasks that have not ended done and has had nothing running for 3 s, and there is capacity for it twice over", j.ID, state, undone)
		}
	default:
		l.judge.violationLocked("LOST", "job %s is %q", j.ID, state)
	}
}

// failedTwice reports whether a task of the job was to fail in two runs.
func (l *lab) failedTwice(j *job) bool {
	for k := range max(1, j.RepeatCount) {
		for s := range j.Steps {
			n := 0
			for i := range j.Steps[s].Count {
				if !j.Steps[s].Gang {
					n = 0
				}
				for run := 1; run < 60; run++ {
					if j.failsAfter(fmt.Sprintf("%s.%d.%d.%d", j.ID, k, s, i), run) > 0 {
						n++
					}
				}
				if n >= 2 {
					return true
				}
			}
		}
	}
	return false
}

// quiet ends all disturbances.
func (l *lab) quiet() {
	l.store.setFault(nil)
	l.fleet.mu.Lock()
	l.fleet.command = nil
	l.fleet.mu.Unlock()
	for _, nd := range l.cluster.nodes {
		nd.signal(syscall.SIGCONT)
	}
}

// disturbOnce makes one disturbance and returns when it is over, or sooner.
func (l *lab) disturbOnce(rng *rand.Rand) {
	nd := l.cluster.owner()
	if nd == nil || rng.IntN(3) == 0 {
		nd = l.cluster.nodes[rng.IntN(len(l.cluster.nodes))]
	}
	long := time.Duration(1000+rng.IntN(3500)) * time.Millisecond
	until := time.Now().Add(long)
	switch rng.IntN(12) {
	case 0, 1:
		l.judge.disturb(time.Now().Add(600*time.Millisecond), "kill %s", nd.name)
		nd.kill()
		time.Sleep(500 * time.Millisecond)
		l.cluster.start(nd)
	case 2:
		l.judge.disturb(time.Now().Add(7*time.Second), "SIGTERM %s", nd.name)
		nd.signal(syscall.SIGTERM)
		go func() {
			select {
			case <-nd.exited:
			case <-time.After(6 * time.Second):
				nd.kill()
			}
			time.Sleep(200 * time.Millisecond)
			l.cluster.start(nd)
		}()
		time.Sleep(time.Duration(rng.IntN(3000)) * time.Millisecond)
	case 3:
		l.judge.disturb(time.Now().Add(3500*time.Millisecond), "freeze %s", nd.name)
		nd.signal(syscall.SIGSTOP)
		time.Sleep(3500 * time.Millisecond)
		nd.signal(syscall.SIGCONT)
	case 4:
		status := []int{503, 429, 0}[rng.IntN(3)]
		l.judge.disturb(until, "store down with %d for %v", status, long)
		l.store.setFault(func(string, string) storeFault { return storeFault{status: status, silent: status == 0} })
		time.Sleep(long)
		l.store.setFault(nil)
	case 5:
		l.judge.disturb(until, "store loses answers for %v", long)
		l.store.setFault(func(_, path string) storeFault {
			if path == "/rows-tx" && rand.IntN(3) == 0 {
				f := storeFault{loseAnswer: true}
				if rand.IntN(2) == 0 {
					f.delay = time.Duration(1000+rand.IntN(4000)) * time.Millisecond
				}
				return f
			}
			return storeFault{}
		})
		time.Sleep(long)
		l.store.setFault(nil)
	case 6:
		l.judge.disturb(until, "store is slow for %v", long)
		l.store.setFault(func(string, string) storeFault { return storeFault{delay: 240 * time.Millisecond} })
		time.Sleep(long)
		l.store.setFault(nil)
	case 7:
		l.crashWorkers(rng, 1+rng.IntN(2), rng.IntN(2) == 0, long)
	case 8:
		l.judge.disturb(until.Add(12*time.Second), "commands to workers are carried out late for %v", long)
		l.fleet.setCommand(func(_ *life, _ string) commandFault {
			if rand.IntN(15) == 0 {
				return commandFault{late: time.Duration(2000+rand.IntN(10000)) * time.Millisecond}
			}
			return commandFault{}
		})
		time.Sleep(long)
		l.fleet.setCommand(nil)
	case 9:
		l.judge.disturb(until, "answers of workers are lost for %v", long)
		l.fleet.setCommand(func(_ *life, path string) commandFault {
			return commandFault{lose: path != "/hold" && rand.IntN(5) == 0}
		})
		time.Sleep(long)
		l.fleet.setCommand(nil)
	case 11:
		l.judge.disturb(time.Now(), "all open connections to the store and the workers go silent")
		l.store.channels.silence()
		l.fleet.mu.Lock()
		for _, w := range l.fleet.lives {
			w.channels.silence()
		}
		l.fleet.mu.Unlock()
		time.Sleep(time.Duration(rng.IntN(12)) * time.Second)
	case 10:
		l.judge.disturb(until, "starts are answered 503 for %v", long)
		l.fleet.setCommand(func(_ *life, path string) commandFault {
			if path == "/run-start" && rand.IntN(8) == 0 {
				return commandFault{status: 503}
			}
			return commandFault{}
		})
		time.Sleep(long)
		l.fleet.setCommand(nil)
	}
}

func (f *fleet) setCommand(c func(*life, string) commandFault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.command = c
}

// crashWorkers crashes workers, which start again under their ids, or are replaced by others.
func (l *lab) crashWorkers(rng *rand.Rand, n int, same bool, long time.Duration) {
	l.judge.disturb(time.Now().Add(long), "%d workers crash, back under the same id: %v", n, same)
	l.fleet.mu.Lock()
	var lives []*life
	for _, w := range l.fleet.lives {
		if !w.dead && len(lives) < n {
			lives = append(lives, w)
		}
	}
	l.fleet.mu.Unlock()
	for _, w := range lives {
		w.crash()
	}
	time.Sleep(long)
	for _, w := range lives {
		id, address := w.id, w.address
		if !same {
			id, address = fmt.Sprintf("i-%08x", rng.Uint32()), ""
			old := w.id
			l.fleet.mu.Lock()
			delete(l.fleet.lives, old)
			l.fleet.mu.Unlock()
			go func() {
				time.Sleep(max(0, 3*heartbeat-long))
				l.store.drop("servers", old)
			}()
		}
		l.fleet.start(id, w.kind, w.rack, w.zone, address)
	}
}
