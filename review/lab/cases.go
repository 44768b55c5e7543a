package main

import (
	"fmt"
	"strings"
	"time"
)

var cases = map[string]func(dir, binary string){
	"watch-pool": watchPool,
	"addresses":  addresses,
	"kinds":      kinds,
	"withdrawn":  withdrawn,
	"labels":     labels,
	"zone":       zoneLost,
}

// watchPool: tasks that last fail by their own fault, one after the other, on the only workers that may
// run them.
func watchPool(dir, binary string) {
	l := start(dir, binary, 3, [][]string{{"a", "a", "a", "b"}, {"a", "a", "a", "b"}, {"a", "a", "a"}}, nil)
	stop := make(chan struct{})
	go l.judge.watch(stop)
	for range 12 {
		j := &job{Steps: []step{{Count: 1, Cpu: 1000, MemMb: 2000, EstimatedMs: 60000, Requirements: "b", LongRunning: true}}}
		if !l.clients.submit(watch, j) {
			giveUp("a job was not accepted")
		}
	}
	time.Sleep(4 * time.Second)
	if l.trouble {
		for range 12 {
			l.failOne()
			time.Sleep(2500 * time.Millisecond)
		}
	}
	time.Sleep(finish)
	close(stop)
	l.finish()
}

// failOne lets a task that runs for the first time, on the worker with the most such tasks, fail by its
// own fault.
func (l *lab) failOne() {
	var best *life
	var victim *taskRun
	most := 0
	l.fleet.mu.Lock()
	defer l.fleet.mu.Unlock()
	for _, w := range l.fleet.lives {
		w.mu.Lock()
		n := 0
		var first *taskRun
		for _, r := range w.runs {
			if r.number == 1 {
				n++
				first = r
			}
		}
		if n > most || n == most && best != nil && strings.Compare(w.id, best.id) < 0 {
			best, victim, most = w, first, n
		}
		w.mu.Unlock()
	}
	if best == nil {
		return
	}
	best.mu.Lock()
	victim.failAt = time.Now()
	best.mu.Unlock()
}

// addresses: the workers of a rack crash and start again under their ids, each at the address that
// another of them had.
func addresses(dir, binary string) {
	l := start(dir, binary, 3, [][]string{{"a", "a", "a", "a"}, {"a", "a", "a", "a"}, {"a", "a", "a", "a"}}, nil)
	stop := make(chan struct{})
	go l.judge.watch(stop)
	pair := &job{Steps: []step{{Count: 2, Cpu: 1000, MemMb: 2000, EstimatedMs: 60000, Requirements: "r-1", AntiAffinity: 1, LongRunning: true}}}
	if !l.clients.submit(watch, pair) {
		giveUp("a job was not accepted")
	}
	time.Sleep(3 * time.Second)
	if l.trouble {
		var old []*life
		l.judge.disturb(time.Now().Add(4*time.Second), "all workers of rack r-1 crash; they are back within 4 s under their ids, each at the address of another")
		for i := range 4 {
			w := l.fleet.get(fmt.Sprintf("i-1%07d", i+1))
			old = append(old, w)
			w.crash()
		}
		time.Sleep(2500 * time.Millisecond)
		for i, w := range old {
			l.fleet.start(w.id, w.kind, w.rack, w.zone, old[(i+1)%4].address)
			time.Sleep(450 * time.Millisecond)
		}
	}
	time.Sleep(2 * time.Second)
	later := &job{Steps: []step{{Count: 2, Cpu: 1000, MemMb: 2000, EstimatedMs: 800, Requirements: "r-1", AntiAffinity: 1}}, millis: 800}
	l.clients.submit(quick, later)
	time.Sleep(finish + 6*time.Second)
	l.checkFinal(later, l.clients.stateOf(quick, later))
	close(stop)
	l.finish()
}

// kinds: a worker crashes and starts again under its id as a worker of another kind.
func kinds(dir, binary string) {
	l := start(dir, binary, 3, [][]string{{"a", "b", "b"}, {"a", "b", "b"}, {"b", "b", "b"}}, nil)
	for round := range 8 {
		go func() {
			for range 15 {
				j := &job{Steps: []step{{Count: 2, Cpu: 9000, MemMb: 2000, EstimatedMs: 800, Requirements: "a"}}, millis: 800}
				l.clients.submit(quick, j)
				time.Sleep(150 * time.Millisecond)
			}
		}()
		if l.trouble && round < 2 {
			w := l.fleet.get([]string{"i-10000001", "i-20000001"}[round])
			l.judge.disturb(time.Now().Add(3*time.Second), "%s crashes; it is back after 3 s as a worker of kind b", w.id)
			w.crash()
			time.Sleep(3 * time.Second)
			l.fleet.early = time.Second
			l.fleet.start(w.id, "b", w.rack, w.zone, w.address)
			time.Sleep(2 * time.Second)
			// another worker takes over its kind, so that the jobs can end
			l.fleet.start("i-9000000"+string(rune('1'+round)), "a", w.rack, w.zone, "")
		}
		time.Sleep(2 * time.Second)
	}
	l.finish()
}

// withdrawn: a job is handed in while its owner has been killed, its write is carried out late, and its
// client cancels it after the 504.
func withdrawn(dir, binary string) {
	l := start(dir, binary, 3, [][]string{{"a", "a", "a", "a"}, {"a", "a", "a", "a"}, {"a", "a", "a", "a"}}, nil)
	stop := make(chan struct{})
	go l.traffic(stop, 150*time.Millisecond)
	time.Sleep(4 * time.Second)
	for range 3 {
		l.withdrawOne()
		time.Sleep(12 * time.Second)
	}
	close(stop)
	time.Sleep(4 * time.Second)
	l.finish()
}

// withdrawOne hands in a job after the owner was killed, while the store carries out the writes of that job
// six seconds late and does not answer them, and cancels the job once it has a response.
func (l *lab) withdrawOne() {
	j := &job{ID: newID(), Steps: []step{{Count: 2, Cpu: 1000, MemMb: 2000, EstimatedMs: 800}}, millis: 800}
	const window = 1600 * time.Millisecond
	owner := l.cluster.owner()
	if l.trouble {
		l.judge.disturb(time.Now().Add(window), "%s is killed; for %v some writes get no answer and are carried out 6 s later", owner.name, window)
		began, lost := time.Now(), 0
		before := l.store.count()
		l.store.setLate(func(writes []storedRow) time.Duration {
			for _, r := range writes {
				if strings.HasSuffix(r.Key, j.ID) {
					lost++
					l.judge.log("late  write of %s %s, 6 s after %.1f s of the trouble", r.Table, r.Key, time.Since(began).Seconds())
					return 6 * time.Second
				}
			}
			return 0
		})
		owner.kill()
		defer func() {
			time.Sleep(max(0, time.Until(began.Add(window))))
			l.store.setLate(nil)
			l.judge.log("      %d of %d writes were carried out late", lost, l.store.count()-before)
			l.cluster.start(owner)
		}()
	}
	others := &clients{judge: l.judge, host: host, nodes: func() []string {
		var out []string
		for _, nd := range l.cluster.nodes {
			if nd != owner {
				out = append(out, nd.front)
			}
		}
		return out
	}}
	if others.submitOnce(quick, j) {
		return
	}
	others.drop(quick, j)
}

// traffic hands in a small job at each interval until the channel is closed.
func (l *lab) traffic(stop <-chan struct{}, interval time.Duration) {
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for {
		select {
		case <-stop:
			return
		case <-tick.C:
			go l.clients.submit(quick, &job{Steps: []step{{Count: 2, Cpu: 1000, MemMb: 2000, EstimatedMs: 300}}, millis: 300})
		}
	}
}

// grown sets the bounds that differ in the sheet of the grown deployment.
func grown(settings map[string]any) {
	b := settings["bounds"].(map[string]any)
	b["gang_wait"], b["impact"] = "4000ms", "4500ms"
}

// labels: the two workers of a kind leave one zone of a deployment with several shards. Other zones have
// workers of that kind.
func labels(dir, binary string) {
	var racks [][]string
	for r := range 9 {
		kinds := []string{"a", "a", "a", "a", "a", "a", "a", "a"}
		if r < 6 {
			kinds[0] = "b"
		}
		racks = append(racks, kinds)
	}
	l := start(dir, binary, 3, racks, grown)
	if l.trouble {
		leaving := []*life{l.fleet.get("i-10000001"), l.fleet.get("i-40000001")}
		l.judge.disturb(time.Now().Add(5*time.Second), "%v, the workers of kind b in zone z1, drain and leave", leaving)
		for _, w := range leaving {
			w.drain()
		}
		time.Sleep(4 * time.Second)
		for _, w := range leaving {
			l.fleet.remove(w)
		}
	}
	time.Sleep(4 * time.Second)
	var jobs []*job
	for range 24 {
		j := &job{Steps: []step{{Count: 2, Cpu: 1000, MemMb: 2000, EstimatedMs: 800, Requirements: "b"}}, millis: 800}
		if l.clients.submit(quick, j) {
			jobs = append(jobs, j)
		}
		time.Sleep(200 * time.Millisecond)
	}
	time.Sleep(finish)
	for _, j := range jobs {
		l.checkFinal(j, l.clients.stateOf(quick, j))
	}
	l.finish()
}

// remove ends a worker that has left.
func (f *fleet) remove(w *life) {
	w.crash()
	f.mu.Lock()
	delete(f.lives, w.id)
	f.mu.Unlock()
	f.store.drop("servers", w.id)
}

// zoneLost: a zone of a deployment with several shards is lost, its node and its workers.
func zoneLost(dir, binary string) {
	var racks [][]string
	for range 9 {
		racks = append(racks, []string{"a", "a", "a", "a", "a", "a", "a", "a"})
	}
	l := start(dir, binary, 6, racks, grown)
	var jobs []*job
	submit := func(n int) {
		for range n {
			j := &job{Steps: []step{{Count: 2, Cpu: 1000, MemMb: 2000, EstimatedMs: 800}, {Count: 2, Cpu: 1000, MemMb: 2000, EstimatedMs: 800, After: []int{0}}}, millis: 800}
			if len(jobs)%4 == 3 {
				j.RepeatCount, j.IntervalMs, j.StartAtMs = 3, 3000, time.Now().UnixMilli()+1000
			}
			if l.clients.submit(quick, j) {
				jobs = append(jobs, j)
			}
			time.Sleep(150 * time.Millisecond)
		}
	}
	submit(24)
	if l.trouble {
		l.judge.disturb(time.Now().Add(time.Second), "zone z1 is lost: its nodes and its workers are gone for good")
		for i, nd := range l.cluster.nodes {
			if i%3 == 0 {
				nd.kill()
			}
		}
		l.fleet.mu.Lock()
		var gone []*life
		for _, w := range l.fleet.lives {
			if w.zone == "z1" {
				gone = append(gone, w)
			}
		}
		l.fleet.mu.Unlock()
		for _, w := range gone {
			w.crash()
		}
		go func() {
			time.Sleep(3 * heartbeat)
			for _, w := range gone {
				l.store.drop("servers", w.id)
			}
		}()
	}
	submit(24)
	time.Sleep(2 * finish)
	for _, j := range jobs {
		l.checkFinal(j, l.clients.stateOf(quick, j))
	}
	l.finish()
}
