package shard

import (
	"context"
	"encoding/json"
	"maps"
	"sync"

	"skylarkport/internal/member"
	"skylarkport/internal/result"
)

// fakeNet connects fake groups in memory. There are no heartbeats: the values that a
// group attaches to them are passed on only by exchangeAttachments.
type fakeNet struct {
	mu     sync.Mutex
	groups map[string]*fakeGroup
}

type fakeGroup struct {
	net       *fakeNet
	self      member.Peer
	view      *member.View
	changed   chan struct{}
	handlers  map[string]member.Handler
	attached  map[string]func() any
	listeners map[string]func(member.Peer, json.RawMessage)
}

func newFakeNet() *fakeNet { return &fakeNet{groups: map[string]*fakeGroup{}} }

func (n *fakeNet) join(name, zone string) *fakeGroup {
	g := &fakeGroup{
		net: n, view: &member.View{}, changed: make(chan struct{}),
		self: member.Peer{
			ID: name + "/scheduler", Instance: name, Program: member.Scheduler, Zone: zone,
			Incarnation: name + "-1", State: member.Alive,
		},
		handlers: map[string]member.Handler{}, attached: map[string]func() any{},
		listeners: map[string]func(member.Peer, json.RawMessage){},
	}
	n.mu.Lock()
	n.groups[g.self.ID] = g
	n.mu.Unlock()
	n.publish()
	return g
}

// setState changes the state in which all other members see a peer.
func (n *fakeNet) setState(id string, s member.State) {
	n.mu.Lock()
	n.groups[id].self.State = s
	n.mu.Unlock()
	n.publish()
}

func (n *fakeNet) publish() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, g := range n.groups {
		v := &member.View{Version: g.view.Version + 1}
		for _, p := range n.groups {
			if p != g {
				v.Peers = append(v.Peers, p.self)
			}
		}
		g.view = v
		close(g.changed)
		g.changed = make(chan struct{})
	}
}

// exchangeAttachments delivers the attached values of each group to all others.
func (n *fakeNet) exchangeAttachments() {
	n.mu.Lock()
	var groups []*fakeGroup
	for _, g := range n.groups {
		groups = append(groups, g)
	}
	n.mu.Unlock()
	for _, from := range groups {
		for key, f := range from.attachments() {
			b, _ := json.Marshal(f())
			for _, to := range groups {
				if h := to.listener(key); h != nil && to != from {
					h(from.Self(), b)
				}
			}
		}
	}
}

func (g *fakeGroup) attachments() map[string]func() any {
	g.net.mu.Lock()
	defer g.net.mu.Unlock()
	return maps.Clone(g.attached)
}

func (g *fakeGroup) listener(key string) func(member.Peer, json.RawMessage) {
	g.net.mu.Lock()
	defer g.net.mu.Unlock()
	return g.listeners[key]
}

func (g *fakeGroup) handler(method string) member.Handler {
	g.net.mu.Lock()
	defer g.net.mu.Unlock()
	return g.handlers[method]
}

func (g *fakeGroup) Self() member.Peer {
	g.net.mu.Lock()
	defer g.net.mu.Unlock()
	return g.self
}

func (g *fakeGroup) View() *member.View {
	g.net.mu.Lock()
	defer g.net.mu.Unlock()
	return g.view
}

func (g *fakeGroup) Changed() <-chan struct{} {
	g.net.mu.Lock()
	defer g.net.mu.Unlock()
	return g.changed
}

func (g *fakeGroup) Handle(method string, h member.Handler) {
	g.net.mu.Lock()
	defer g.net.mu.Unlock()
	g.handlers[method] = h
}

func (g *fakeGroup) Attach(key string, f func() any) {
	g.net.mu.Lock()
	defer g.net.mu.Unlock()
	g.attached[key] = f
}

func (g *fakeGroup) OnAttached(key string, f func(member.Peer, json.RawMessage)) {
	g.net.mu.Lock()
	defer g.net.mu.Unlock()
	g.listeners[key] = f
}

func (g *fakeGroup) Call(ctx context.Context, peerID, method string, params, reply any) error {
	g.net.mu.Lock()
	to := g.net.groups[peerID]
	g.net.mu.Unlock()
	if to == nil || to.handler(method) == nil {
		return result.Errorf(result.PeerUnavailable, "%s", peerID)
	}
	b, _ := json.Marshal(params)
	v, err := to.handler(method)(ctx, g.Self(), b)
	if err != nil || reply == nil {
		return err
	}
	b, _ = json.Marshal(v)
	return json.Unmarshal(b, reply)
}
