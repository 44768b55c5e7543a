package bundle

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"skylarkport/internal/contract"
	"skylarkport/internal/member"
	"skylarkport/internal/result"
)

// fault is how the fake platform fails a call.
type fault string

const (
	faultNone         fault = "none"
	faultRefused      fault = "down" // refused without effect
	faultSlow         fault = "slow" // the response comes after slowResponseDelay
	faultResponseLost fault = "lost" // applied, but the response is lost
	faultNotApplied   fault = "late" // not applied, and the outcome is unknown to the caller
)

const slowResponseDelay = 1500 * time.Millisecond

// platform is an in-memory table and object store with fault injection.
type platform struct {
	mu      sync.Mutex
	rows    map[contract.Key]contract.Row
	deleted map[contract.Key]uint64
	objects map[string][]byte
	fault   fault
	once    bool // the fault applies to one call only
	skip    int  // calls without a fault before it
	reads   int  // reads of rows that reached the table
}

func newPlatform() *platform {
	return &platform{
		rows:    map[contract.Key]contract.Row{},
		deleted: map[contract.Key]uint64{},
		objects: map[string][]byte{},
		fault:   faultNone,
	}
}

// setFault injects f into the next call if once is set, otherwise into every call.
func (p *platform) setFault(f fault, once bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault, p.once, p.skip = f, once, 0
}

// setFaultAt injects f into one call, after skip calls without a fault.
func (p *platform) setFaultAt(f fault, skip int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault, p.once, p.skip = f, true, skip
}

func (p *platform) readCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reads
}

// faultPending reports whether a fault for one call has not been injected yet.
func (p *platform) faultPending() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.once
}

// call injects the fault that is due, runs do unless the fault prevents it, and
// returns the error that the caller gets.
func (p *platform) call(ctx context.Context, do func() error) error {
	p.mu.Lock()
	f := p.fault
	if p.skip > 0 {
		p.skip--
		f = faultNone
	} else if p.once {
		p.fault, p.once = faultNone, false
	}
	p.mu.Unlock()
	if f == faultSlow {
		select {
		case <-time.After(slowResponseDelay):
		case <-ctx.Done():
			return &contract.CallError{Outcome: contract.Unknown, Code: result.PlatformUnknown, Detail: "slow"}
		}
	}
	if f == faultRefused {
		return &contract.CallError{Outcome: contract.Refused, Code: result.PlatformRefused, Detail: "down"}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	var err error
	if f != faultNotApplied {
		err = do()
	}
	if f == faultResponseLost || f == faultNotApplied {
		return &contract.CallError{Outcome: contract.Unknown, Code: result.PlatformUnknown, Detail: "the response was lost"}
	}
	return err
}

func (p *platform) Read(ctx context.Context, key contract.Key) (row contract.Row, err error) {
	err = p.call(ctx, func() error {
		p.reads++
		r, ok := p.rows[key]
		if !ok {
			return &contract.CallError{Code: result.PlatformNotFound, Row: key}
		}
		row = r
		return nil
	})
	return row, err
}

func (p *platform) Scan(ctx context.Context, table, from, to string, limit int) (out []contract.Row, err error) {
	err = p.call(ctx, func() error {
		for key, row := range p.rows {
			if key.Table == table && key.Row >= from && (to == "" || key.Row < to) {
				out = append(out, row)
			}
		}
		slices.SortFunc(out, func(a, b contract.Row) int { return strings.Compare(a.Key.Row, b.Key.Row) })
		out = out[:min(limit, len(out))]
		return nil
	})
	return out, err
}

func (p *platform) Commit(ctx context.Context, writes []contract.Write) (versions []uint64, err error) {
	err = p.call(ctx, func() error {
		for _, w := range writes {
			row, ok := p.rows[w.Key]
			if w.If == contract.IfAbsent && ok || w.If == contract.IfVersion && (!ok || row.Version != w.Version) {
				return &contract.CallError{Code: result.PlatformConflict, Row: w.Key}
			}
		}
		for _, w := range writes {
			versions = append(versions, p.apply(w))
		}
		return nil
	})
	return versions, err
}

func (p *platform) apply(w contract.Write) uint64 {
	last := max(p.rows[w.Key].Version, p.deleted[w.Key])
	switch w.Do {
	case contract.Put:
		p.rows[w.Key] = contract.Row{Key: w.Key, Version: last + 1, Value: slices.Clone(w.Value)}
		return last + 1
	case contract.Delete:
		p.deleted[w.Key] = last
		delete(p.rows, w.Key)
	}
	return 0
}

// objectStore implements contract.Objects on a platform.
type objectStore struct{ *platform }

func (o objectStore) Put(ctx context.Context, name string, body []byte) error {
	return o.call(ctx, func() error { o.objects[name] = slices.Clone(body); return nil })
}

func (o objectStore) Get(ctx context.Context, name string) (body []byte, err error) {
	err = o.call(ctx, func() error {
		b, ok := o.objects[name]
		if !ok {
			return &contract.CallError{Code: result.PlatformNotFound, Detail: name}
		}
		body = b
		return nil
	})
	return body, err
}

func (o objectStore) Delete(ctx context.Context, name string) error {
	return o.call(ctx, func() error { delete(o.objects, name); return nil })
}

// network connects fake groups, which exchange the values attached to
// heartbeats.
type network struct {
	mu     sync.Mutex
	groups map[string]*group
}

// heartbeatInterval is how often the fake groups exchange values.
const heartbeatInterval = 250 * time.Millisecond

// group is a fake member.Group.
type group struct {
	net          *network
	self         member.Peer
	handlers     map[string]member.Handler
	attached     map[string]func() any
	receivers    map[string]func(member.Peer, json.RawMessage)
	disconnected atomic.Bool // disconnected from all peers
}

// add connects a new group after running the setup functions on it.
func (n *network) add(id string, before ...func(*group)) *group {
	g := &group{
		net: n, self: member.Peer{ID: id, State: member.Alive},
		handlers:  map[string]member.Handler{},
		attached:  map[string]func() any{},
		receivers: map[string]func(member.Peer, json.RawMessage){},
	}
	for _, b := range before {
		b(g)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.groups[id] = g
	return g
}

func (n *network) remove(id string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.groups, id)
}

// others returns the groups that g can reach.
func (n *network) others(g *group) []*group {
	n.mu.Lock()
	defer n.mu.Unlock()
	var out []*group
	for _, o := range n.groups {
		if o != g && !o.disconnected.Load() && !g.disconnected.Load() {
			out = append(out, o)
		}
	}
	return out
}

// run exchanges heartbeats until ctx ends.
func (n *network) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(heartbeatInterval):
		}
		n.mu.Lock()
		all := make([]*group, 0, len(n.groups))
		for _, g := range n.groups {
			all = append(all, g)
		}
		n.mu.Unlock()
		for _, g := range all {
			g.sendHeartbeat()
		}
	}
}

// sendHeartbeat delivers the attached values to all reachable peers.
func (g *group) sendHeartbeat() {
	for key, f := range g.attached {
		v := f()
		if v == nil {
			continue
		}
		data, err := json.Marshal(v)
		if err != nil {
			panic(err)
		}
		for _, o := range g.net.others(g) {
			if take := o.receivers[key]; take != nil {
				take(g.self, data)
			}
		}
	}
}

func (g *group) Self() member.Peer                                           { return g.self }
func (g *group) Changed() <-chan struct{}                                    { return nil }
func (g *group) Handle(method string, h member.Handler)                      { g.handlers[method] = h }
func (g *group) Attach(key string, f func() any)                             { g.attached[key] = f }
func (g *group) OnAttached(key string, f func(member.Peer, json.RawMessage)) { g.receivers[key] = f }

// View lists all peers, those that g cannot reach as suspect.
func (g *group) View() *member.View {
	v := &member.View{}
	reached := g.net.others(g)
	g.net.mu.Lock()
	defer g.net.mu.Unlock()
	for _, o := range g.net.groups {
		if o == g {
			continue
		}
		p := o.self
		if !slices.Contains(reached, o) {
			p.State = member.Suspect
		}
		v.Peers = append(v.Peers, p)
	}
	return v
}

func (g *group) Call(ctx context.Context, peerID, method string, params, reply any) error {
	for _, o := range g.net.others(g) {
		if o.self.ID != peerID {
			continue
		}
		data, err := json.Marshal(params)
		if err != nil {
			return err
		}
		value, err := o.handlers[method](ctx, g.self, data)
		if err != nil {
			return err
		}
		back, err := json.Marshal(value)
		if err != nil {
			return err
		}
		return json.Unmarshal(back, reply)
	}
	return result.Errorf(result.PeerUnavailable, "%s", fmt.Sprint(peerID))
}

// serveAccepted returns a handler of getMethod that returns one bundle.
func serveAccepted(a *AcceptedBundle) member.Handler {
	return func(context.Context, member.Peer, json.RawMessage) (any, error) {
		return getReply{Head: a.Head, Bundles: []*AcceptedBundle{a}}, nil
	}
}
