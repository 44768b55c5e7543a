package main

import (
	"math/rand/v2"
	"sync"
	"time"

	"skylarkport/review/stand"
)

// finishTime is the time between the end of the traffic and the questions after all jobs.
const finishTime = 14 * time.Second

// routes returns the routes of a small deployment.
func routes() (hold, batch *stand.Route) {
	hold = &stand.Route{Name: "stock-hold", Host: "hold.example", Prefix: "/hold/", TargetMs: 250, Priority: 0, Attempts: 3}
	batch = &stand.Route{Name: "renew-batch", Host: "batch.example", Prefix: "/batch/", TargetMs: 1000, Priority: 2, Attempts: 4}
	return hold, batch
}

// about returns durations around mean, the same for the same index.
func about(meanMs int64) func(int) int64 {
	return func(index int) int64 { return meanMs*3/4 + int64(index*7919%1000)*meanMs/2000 }
}

// smallJob is a job of the usual size.
func smallJob(r *stand.Route) *stand.Job {
	return &stand.Job{ID: stand.NewID(), Route: r, TaskSpec: "hold stock", Steps: []stand.Step{
		{Count: 4, CPU: 1000, MemMb: 256, EstimatedMs: 800, WorkMs: about(800)},
		{Count: 2, CPU: 1000, MemMb: 256, EstimatedMs: 800, After: []int{0}, WorkMs: about(800)},
	}}
}

// traffic hands in perSecond small jobs a second for d and waits for all answers.
func traffic(c *stand.Cluster, r *stand.Route, perSecond float64, d time.Duration) {
	var wg sync.WaitGroup
	for until := time.Now().Add(d); time.Now().Before(until); {
		wg.Go(func() { c.Submit(smallJob(r)) })
		time.Sleep(time.Duration((0.5 + rand.Float64()) / perSecond * float64(time.Second)))
	}
	wg.Wait()
}

// watchJob is a job of tasks that last.
func watchJob(r *stand.Route) *stand.Job {
	return &stand.Job{ID: stand.NewID(), Route: r, TaskSpec: "watch refills", Steps: []stand.Step{
		{Count: 4, CPU: 1000, MemMb: 256, EstimatedMs: 320, LongRunning: true, WorkMs: func(int) int64 { return 0 }},
	}}
}

// unrunnable hands in one timed job that needs a label which no worker has, among small jobs and
// watches.
func unrunnable(program string, trouble bool, rec *stand.Record) error {
	hold, batch := routes()
	c, err := stand.Start(stand.Plan{Program: program, Nodes: 6, Workers: 12, Routes: []*stand.Route{hold, batch}}, rec)
	if err != nil {
		return err
	}
	defer c.Stop()
	for range 3 {
		c.Submit(watchJob(hold))
	}
	if trouble {
		c.Submit(&stand.Job{
			ID: stand.NewID(), Route: batch, TaskSpec: "renew subscriptions", RepeatCount: 200, IntervalMs: 300, StartAtMs: time.Now().UnixMilli() + 1000,
			Steps: []stand.Step{{Count: 300, CPU: 1000, MemMb: 256, EstimatedMs: 2000, Requirements: "b", WorkMs: about(2000)}},
		})
	}
	traffic(c, hold, 4, 35*time.Second)
	c.Finish(finishTime)
	return nil
}

// manyEnds lets the store be down while over 500 runs end on each worker.
func manyEnds(program string, trouble bool, rec *stand.Record) error {
	hold, batch := routes()
	c, err := stand.Start(stand.Plan{Program: program, Nodes: 6, Workers: 3, Routes: []*stand.Route{hold, batch}}, rec)
	if err != nil {
		return err
	}
	defer c.Stop()
	// The runs begin in the first second or two and end over the three seconds from the sixth on.
	work := func(index int) int64 { return 6000 + int64(index)*2000/550 }
	var wg sync.WaitGroup
	for range 4 {
		wg.Go(func() {
			c.Submit(&stand.Job{ID: stand.NewID(), Route: batch, TaskSpec: "renew subscriptions", Steps: []stand.Step{
				{Count: 550, CPU: 40, MemMb: 128, EstimatedMs: 7000, WorkMs: work},
			}})
		})
	}
	wg.Wait()
	time.Sleep(5 * time.Second)
	if trouble {
		c.Store.SetDown(true)
		time.Sleep(4500 * time.Millisecond)
		c.Store.SetDown(false)
	}
	time.Sleep(6 * time.Second)
	c.Finish(finishTime)
	return nil
}

// droppedRoute drops a route from the config while accepted jobs of it have steps to run.
func droppedRoute(program string, trouble bool, rec *stand.Record) error {
	hold, batch := routes()
	c, err := stand.Start(stand.Plan{Program: program, Nodes: 6, Workers: 12, Routes: []*stand.Route{hold, batch}}, rec)
	if err != nil {
		return err
	}
	defer c.Stop()
	var wg sync.WaitGroup
	for range 6 {
		wg.Go(func() {
			c.Submit(&stand.Job{ID: stand.NewID(), Route: batch, TaskSpec: "renew subscriptions", Steps: []stand.Step{
				{Count: 8, CPU: 1000, MemMb: 256, EstimatedMs: 2000, WorkMs: about(2000)},
				{Count: 8, CPU: 1000, MemMb: 256, EstimatedMs: 2000, After: []int{0}, WorkMs: about(2000)},
			}})
		})
	}
	wg.Wait()
	time.Sleep(500 * time.Millisecond)
	if trouble {
		c.PutConfig([]*stand.Route{hold})
	}
	traffic(c, hold, 4, 10*time.Second)
	c.Finish(finishTime)
	return nil
}

// advice loses for good those approved workers that are among the first by id, on a route whose
// tasks only some workers may run. Other approved workers stay.
func advice(program string, trouble bool, rec *stand.Record) error {
	hold, _ := routes()
	c, err := stand.Start(stand.Plan{Program: program, Nodes: 6, Workers: 48, Routes: []*stand.Route{hold}, Advice: true}, rec)
	if err != nil {
		return err
	}
	defer c.Stop()
	first, last := []int{2, 5, 8}, []int{36, 39, 42, 45}
	for _, i := range append(first, last...) {
		c.Adviser.Approve(c.Workers[i].ID)
	}
	traffic(c, hold, 3, 8*time.Second)
	if trouble {
		for _, i := range first {
			c.Workers[i].Crash()
		}
	}
	traffic(c, hold, 3, 15*time.Second)
	c.Finish(finishTime)
	return nil
}

// often hands in one timed job of a single small task that has run some thousand times, among small
// jobs and watches. It shows the fault of the case unrunnable on a job that each worker can run.
func often(program string, trouble bool, rec *stand.Record) error {
	hold, batch := routes()
	c, err := stand.Start(stand.Plan{Program: program, Nodes: 6, Workers: 12, Routes: []*stand.Route{hold, batch}}, rec)
	if err != nil {
		return err
	}
	defer c.Stop()
	for range 3 {
		c.Submit(watchJob(hold))
	}
	times := 9000
	if !trouble {
		times = 2000
	}
	c.Submit(&stand.Job{
		ID: stand.NewID(), Route: batch, TaskSpec: "renew subscriptions", RepeatCount: times, IntervalMs: 8, StartAtMs: time.Now().UnixMilli() + 1000,
		Steps: []stand.Step{{Count: 1, CPU: 100, MemMb: 64, EstimatedMs: 20, WorkMs: func(int) int64 { return 20 }}},
	})
	traffic(c, hold, 4, 75*time.Second)
	c.Finish(finishTime)
	return nil
}

// gang lets one worker of twelve fail all that it starts while jobs with a gang come.
func gang(program string, trouble bool, rec *stand.Record) error {
	hold, batch := routes()
	c, err := stand.Start(stand.Plan{Program: program, Nodes: 6, Workers: 12, Routes: []*stand.Route{hold, batch}}, rec)
	if err != nil {
		return err
	}
	defer c.Stop()
	time.Sleep(time.Second)
	if trouble {
		c.Workers[7].SetBad(true)
		time.AfterFunc(6500*time.Millisecond, func() { c.Workers[7].SetBad(false) })
	}
	for range 4 {
		c.Submit(&stand.Job{ID: stand.NewID(), Route: hold, TaskSpec: "hold stock", Steps: []stand.Step{
			{Count: 36, CPU: 1000, MemMb: 256, EstimatedMs: 1500, Gang: true, WorkMs: func(int) int64 { return 1500 }},
		}})
		time.Sleep(1500 * time.Millisecond)
	}
	time.Sleep(5 * time.Second)
	c.Finish(finishTime)
	return nil
}
