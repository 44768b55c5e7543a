package idempotency

import (
	"context"
	"encoding/json"
	"sort"
	"sync"

	"skylarkport/internal/contract"
	"skylarkport/internal/member"
	"skylarkport/internal/result"
)

// fault is the behaviour of the next calls of fakeTables.
type fault int

const (
	noFault      fault = iota // calls succeed
	unavailable               // reads and commits are refused
	responseLost              // the next commit is applied, but its response is lost
	writeLost                 // the next commit is not applied, and its response is lost
)

// fakeTables keeps rows and objects in memory.
type fakeTables struct {
	mu       sync.Mutex
	rows     map[contract.Key]contract.Row
	versions map[contract.Key]uint64
	objects  map[string][]byte
	fault    fault
	commits  int
}

func newFakeTables() *fakeTables {
	return &fakeTables{
		rows: map[contract.Key]contract.Row{}, versions: map[contract.Key]uint64{}, objects: map[string][]byte{},
	}
}

func (f *fakeTables) setFault(x fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fault = x
}

var (
	errUnavailable    = &contract.CallError{Code: result.PlatformRefused}
	errOutcomeUnknown = &contract.CallError{Code: result.PlatformUnknown, Outcome: contract.Unknown}
)

func (f *fakeTables) Read(_ context.Context, key contract.Key) (contract.Row, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.fault == unavailable {
		return contract.Row{}, errUnavailable
	}
	r, ok := f.rows[key]
	if !ok {
		return r, &contract.CallError{Code: result.PlatformNotFound}
	}
	return r, nil
}

func (f *fakeTables) Scan(_ context.Context, table, from, to string, limit int) ([]contract.Row, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.fault == unavailable {
		return nil, errUnavailable
	}
	var out []contract.Row
	for k, r := range f.rows {
		if k.Table == table && k.Row >= from && (to == "" || k.Row < to) {
			out = append(out, r)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Key.Row < out[j].Key.Row })
	return out[:min(len(out), limit)], nil
}

func (f *fakeTables) Commit(_ context.Context, writes []contract.Write) ([]uint64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.commits++
	switch f.fault {
	case unavailable:
		return nil, errUnavailable
	case writeLost:
		f.fault = noFault
		return nil, errOutcomeUnknown
	case responseLost:
		f.fault = noFault
		if _, err := f.apply(writes); err != nil {
			return nil, err
		}
		return nil, errOutcomeUnknown
	}
	return f.apply(writes)
}

func (f *fakeTables) apply(writes []contract.Write) ([]uint64, error) {
	for _, w := range writes {
		r, ok := f.rows[w.Key]
		if w.If == contract.IfAbsent && ok || w.If == contract.IfVersion && (!ok || r.Version != w.Version) {
			return nil, &contract.CallError{Code: result.PlatformConflict, Row: w.Key}
		}
	}
	out := make([]uint64, len(writes))
	for i, w := range writes {
		switch w.Do {
		case contract.Put:
			f.versions[w.Key]++
			out[i] = f.versions[w.Key]
			f.rows[w.Key] = contract.Row{Key: w.Key, Version: out[i], Value: w.Value}
		case contract.Delete:
			delete(f.rows, w.Key)
		}
	}
	return out, nil
}

func (f *fakeTables) Put(_ context.Context, name string, body []byte) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.objects[name] = body
	return nil
}

func (f *fakeTables) Get(_ context.Context, name string) ([]byte, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	b, ok := f.objects[name]
	if !ok {
		return nil, &contract.CallError{Code: result.PlatformNotFound}
	}
	return b, nil
}

func (f *fakeTables) Delete(_ context.Context, name string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.objects, name)
	return nil
}

// network connects the entries of a test.
type network struct {
	mu           sync.Mutex
	nodes        map[string]*node
	disconnected map[[2]string]bool
	// responsesToLose is the number of calls that will take effect without a
	// response.
	responsesToLose int
}

// node implements member.Group for one entry.
type node struct {
	net      *network
	id       string
	handlers map[string]member.Handler
	view     *member.View
}

func newNetwork(ids ...string) *network {
	n := &network{nodes: map[string]*node{}, disconnected: map[[2]string]bool{}}
	for _, id := range ids {
		n.nodes[id] = &node{net: n, id: id, handlers: map[string]member.Handler{}}
	}
	for _, id := range ids {
		n.setView(id, ids...)
	}
	return n
}

func peerOf(id string) member.Peer {
	return member.Peer{ID: id + "/entry", Instance: id, Program: member.Entry, Zone: "ishikari", State: member.Alive}
}

// setView sets the membership view of node id.
func (n *network) setView(id string, ids ...string) {
	v := &member.View{}
	for _, other := range ids {
		if other != id {
			v.Peers = append(v.Peers, peerOf(other))
		}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.nodes[id].view = v
}

// disconnect cuts the connection between a and b in both directions.
func (n *network) disconnect(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.disconnected[[2]string{a, b}], n.disconnected[[2]string{b, a}] = true, true
}

func (n *node) Self() member.Peer { return peerOf(n.id) }

func (n *node) View() *member.View {
	n.net.mu.Lock()
	defer n.net.mu.Unlock()
	return n.view
}

func (n *node) Changed() <-chan struct{}                              { return nil }
func (n *node) Handle(method string, h member.Handler)                { n.handlers[method] = h }
func (n *node) Attach(string, func() any)                             {}
func (n *node) OnAttached(string, func(member.Peer, json.RawMessage)) {}
func (n *node) resolve(peerID string) (to *node, reachable, responds bool) {
	return n.net.route(n.id, peerID)
}

// route returns the node with the peer ID, whether the node from can reach it,
// and whether the response to the call arrives.
func (n *network) route(from, peerID string) (*node, bool, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for id, to := range n.nodes {
		if id+"/entry" != peerID {
			continue
		}
		if n.responsesToLose > 0 {
			n.responsesToLose--
			return to, !n.disconnected[[2]string{from, id}], false
		}
		return to, !n.disconnected[[2]string{from, id}], true
	}
	return nil, false, false
}

func (n *node) Call(ctx context.Context, peerID, method string, params, reply any) error {
	to, reachable, responds := n.resolve(peerID)
	if !reachable {
		return result.Errorf(result.PeerUnavailable, "%s", peerID)
	}
	b, err := json.Marshal(params)
	if err != nil {
		return err
	}
	v, err := to.handlers[method](ctx, n.Self(), b)
	if !responds {
		return result.Errorf(result.PeerUnavailable, "%s: response lost", peerID)
	}
	if err != nil || reply == nil {
		return err
	}
	b, err = json.Marshal(v)
	if err != nil {
		return err
	}
	return json.Unmarshal(b, reply)
}
