package shard

import (
	"context"
	"sync"

	"skylarkport/internal/contract"
	"skylarkport/internal/job"
	"skylarkport/internal/result"
)

// proxy passes the calls of one owner to the platform and the workers. It can block
// them or fail them all, as if the owner were paused or killed, and calls a hook with
// the step that each call belongs to.
type proxy struct {
	target  Platform
	mu      sync.Mutex
	dead    bool
	resumed chan struct{} // closed at the end of a pause; nil if not paused
	// hook is called with the steps of a call before it is made, and with
	// the steps that the reply shows.
	hook func(step string)
	// finishReported holds the runs whose finish reached the owner in a reply.
	finishReported map[job.RunID]bool
}

func newProxy(target Platform) *proxy {
	return &proxy{target: target, hook: func(string) {}, finishReported: map[job.RunID]bool{}}
}

func (p *proxy) platform() Platform {
	proxied := p.target
	proxied.Tables, proxied.Objects, proxied.Workers = proxyTables{p, p.target.Tables}, proxyObjects{p, p.target.Objects}, proxyWorkers{p, p.target.Workers}
	return proxied
}

func (p *proxy) failCalls() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dead = true
}

func (p *proxy) blockCalls() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.resumed == nil {
		p.resumed = make(chan struct{})
	}
}

func (p *proxy) unblockCalls() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.resumed != nil {
		close(p.resumed)
		p.resumed = nil
	}
}

// waitOrFail blocks the call of a paused owner, even past the call's deadline, and
// fails the call of a killed one.
func (p *proxy) waitOrFail(code result.Code) error {
	for {
		p.mu.Lock()
		resumed, dead := p.resumed, p.dead
		p.mu.Unlock()
		if dead {
			return &contract.CallError{Outcome: contract.Unknown, Code: code, Detail: "the caller was killed"}
		}
		if resumed == nil {
			return nil
		}
		<-resumed
	}
}

// callThrough makes a call for the owner. A pause before the call delays the request;
// a pause during the call delays the reply, after the call has taken effect.
func callThrough[T any](p *proxy, code result.Code, call func(ctx context.Context) (T, error)) (T, error) {
	var none T
	if err := p.waitOrFail(code); err != nil {
		return none, err
	}
	v, err := call(context.Background())
	if perr := p.waitOrFail(code); perr != nil {
		return none, perr
	}
	return v, err
}

type proxyTables struct {
	p *proxy
	t contract.Tables
}

func (t proxyTables) Read(_ context.Context, key contract.Key) (contract.Row, error) {
	return callThrough(t.p, result.PlatformUnknown, func(ctx context.Context) (contract.Row, error) { return t.t.Read(ctx, key) })
}

func (t proxyTables) Scan(_ context.Context, table, from, to string, limit int) ([]contract.Row, error) {
	return callThrough(t.p, result.PlatformUnknown, func(ctx context.Context) ([]contract.Row, error) {
		return t.t.Scan(ctx, table, from, to, limit)
	})
}

func (t proxyTables) Commit(_ context.Context, writes []contract.Write) ([]uint64, error) {
	t.p.hook("journal")
	return callThrough(t.p, result.PlatformUnknown, func(ctx context.Context) ([]uint64, error) { return t.t.Commit(ctx, writes) })
}

type proxyObjects struct {
	p *proxy
	o contract.Objects
}

func (o proxyObjects) Put(_ context.Context, name string, body []byte) error {
	_, err := callThrough(o.p, result.PlatformUnknown, func(ctx context.Context) (int, error) { return 0, o.o.Put(ctx, name, body) })
	return err
}

func (o proxyObjects) Get(_ context.Context, name string) ([]byte, error) {
	return callThrough(o.p, result.PlatformUnknown, func(ctx context.Context) ([]byte, error) { return o.o.Get(ctx, name) })
}

func (o proxyObjects) Delete(_ context.Context, name string) error {
	_, err := callThrough(o.p, result.PlatformUnknown, func(ctx context.Context) (int, error) { return 0, o.o.Delete(ctx, name) })
	return err
}

type proxyWorkers struct {
	p *proxy
	w contract.Workers
}

func (w proxyWorkers) Exchange(_ context.Context, addr string, req contract.ExchangeRequest) (contract.ExchangeReply, error) {
	for _, s := range requestSteps(&req) {
		w.p.hook(s)
	}
	reply, err := callThrough(w.p, result.WorkerUnavailable, func(ctx context.Context) (contract.ExchangeReply, error) {
		return w.w.Exchange(ctx, addr, req)
	})
	if err == nil {
		w.p.recordFinishes(reply.Runs)
		for _, s := range replySteps(&reply) {
			w.p.hook(s)
		}
	}
	return reply, err
}

func (p *proxy) recordFinishes(runs []contract.RunReport) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, r := range runs {
		if r.State == contract.Finished {
			p.finishReported[r.Run] = true
		}
	}
}

// requestSteps returns the steps of a task that a request belongs to.
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

// replySteps returns the steps of a task that a reply shows.
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
