package shard

import (
	"context"
	"sync"

	"skylarkport/internal/contract"
	"skylarkport/internal/job"
	"skylarkport/internal/result"
)

// gate stands between one owner and the outside. It can kill or pause the
// owner's traffic, and tells a hook which step the traffic belongs to.
type gate struct {
	ext  Platform
	mu   sync.Mutex
	dead bool
	wait chan struct{} // closed at the end of a pause
	// hook is called with the step of every call before it is made, and
	// with the steps that an answer shows.
	hook func(step string)
	// told holds the runs whose finish reached the owner.
	told map[job.RunID]bool
}

func newGate(ext Platform) *gate {
	return &gate{ext: ext, hook: func(string) {}, told: map[job.RunID]bool{}}
}

func (g *gate) platform() Platform {
	p := g.ext
	p.Tables, p.Objects, p.Workers = gateTables{g, g.ext.Tables}, gateObjects{g, g.ext.Objects}, gateWorkers{g, g.ext.Workers}
	return p
}

func (g *gate) kill() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.dead = true
}

func (g *gate) pause() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.wait == nil {
		g.wait = make(chan struct{})
	}
}

func (g *gate) resume() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.wait != nil {
		close(g.wait)
		g.wait = nil
	}
}

// pass holds a call of a paused owner, also past the call's deadline, and
// refuses one of a dead owner.
func (g *gate) pass(code result.Code) error {
	for {
		g.mu.Lock()
		wait, dead := g.wait, g.dead
		g.mu.Unlock()
		if dead {
			return &contract.CallError{Outcome: contract.Unknown, Code: code, Detail: "the caller is dead"}
		}
		if wait == nil {
			return nil
		}
		<-wait
	}
}

// around makes a call as the owner sees it: a pause in the middle holds the
// request, a pause after its effect holds the answer.
func around[T any](g *gate, code result.Code, call func(ctx context.Context) (T, error)) (T, error) {
	var none T
	if err := g.pass(code); err != nil {
		return none, err
	}
	v, err := call(context.Background())
	if perr := g.pass(code); perr != nil {
		return none, perr
	}
	return v, err
}

type gateTables struct {
	g *gate
	t contract.Tables
}

func (t gateTables) Read(_ context.Context, key contract.Key) (contract.Row, error) {
	return around(t.g, result.PlatformUnknown, func(ctx context.Context) (contract.Row, error) { return t.t.Read(ctx, key) })
}

func (t gateTables) Scan(_ context.Context, table, from, to string, limit int) ([]contract.Row, error) {
	return around(t.g, result.PlatformUnknown, func(ctx context.Context) ([]contract.Row, error) {
		return t.t.Scan(ctx, table, from, to, limit)
	})
}

func (t gateTables) Commit(_ context.Context, writes []contract.Write) ([]uint64, error) {
	t.g.hook("journal")
	return around(t.g, result.PlatformUnknown, func(ctx context.Context) ([]uint64, error) { return t.t.Commit(ctx, writes) })
}

type gateObjects struct {
	g *gate
	o contract.Objects
}

func (o gateObjects) Put(_ context.Context, name string, body []byte) error {
	_, err := around(o.g, result.PlatformUnknown, func(ctx context.Context) (int, error) { return 0, o.o.Put(ctx, name, body) })
	return err
}

func (o gateObjects) Get(_ context.Context, name string) ([]byte, error) {
	return around(o.g, result.PlatformUnknown, func(ctx context.Context) ([]byte, error) { return o.o.Get(ctx, name) })
}

func (o gateObjects) Delete(_ context.Context, name string) error {
	_, err := around(o.g, result.PlatformUnknown, func(ctx context.Context) (int, error) { return 0, o.o.Delete(ctx, name) })
	return err
}

type gateWorkers struct {
	g *gate
	w contract.Workers
}

func (w gateWorkers) Exchange(_ context.Context, addr string, req contract.ExchangeRequest) (contract.ExchangeReply, error) {
	for _, s := range requestSteps(&req) {
		w.g.hook(s)
	}
	reply, err := around(w.g, result.WorkerAway, func(ctx context.Context) (contract.ExchangeReply, error) {
		return w.w.Exchange(ctx, addr, req)
	})
	if err == nil {
		w.g.hear(reply.Runs)
		for _, s := range replySteps(&reply) {
			w.g.hook(s)
		}
	}
	return reply, err
}

func (g *gate) hear(runs []contract.RunReport) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, r := range runs {
		if r.State == contract.Finished {
			g.told[r.Run] = true
		}
	}
}

func requestSteps(req *contract.ExchangeRequest) []string {
	var steps []string
	if req.Stamp != 0 {
		steps = append(steps, "grant")
	}
	for _, s := range req.Start {
		steps = append(steps, "start")
		if s.Resume > 0 {
			steps = append(steps, "resume")
		}
	}
	if len(req.Checkpoint) > 0 {
		steps = append(steps, "checkpoint")
	}
	if len(req.Stop) > 0 {
		steps = append(steps, "evict")
	}
	return steps
}

func replySteps(reply *contract.ExchangeReply) []string {
	var steps []string
	for _, r := range reply.Runs {
		switch r.State {
		case contract.Running:
			steps = append(steps, "report")
		case contract.Finished:
			steps = append(steps, "finish")
		}
	}
	return steps
}
