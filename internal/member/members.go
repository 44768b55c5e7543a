package member

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"skylarkport/internal/link"
	"skylarkport/internal/meter"
	"skylarkport/internal/obs"
)

var logger = obs.Logger("member")

// Membership implements Group for a running process.
type Membership struct {
	cfg         Config
	self        Peer
	start       time.Time
	endpoint    *link.Endpoint
	leaving     atomic.Bool
	stopped     atomic.Bool
	currentView atomic.Pointer[publishedView]
	wake        chan struct{}
	meters      *meters

	handlers    map[string]Handler
	listeners   map[string][]func(from Peer, value json.RawMessage)
	attachments []attachment

	mu           sync.Mutex
	peers        map[string]*peer
	attached     map[string]string // newest values as JSON, by key
	sendNow      bool              // a value or the roster changed; send heartbeats without waiting for the interval
	viewOutdated bool              // a peer changed since the current view was published
}

// publishedView is a view and the channel that is closed when the next one replaces it.
type publishedView struct {
	view    *View
	changed chan struct{}
}

type attachment struct {
	key   string
	value func() any
}

var _ Group = (*Membership)(nil)

// New returns the membership of a process. It sends nothing before Run.
func New(cfg Config) (*Membership, error) {
	if err := cfg.complete(); err != nil {
		return nil, err
	}
	m := &Membership{
		cfg:       cfg,
		start:     time.Now(),
		wake:      make(chan struct{}, 1),
		handlers:  map[string]Handler{},
		listeners: map[string][]func(Peer, json.RawMessage){},
		peers:     map[string]*peer{},
		attached:  map[string]string{},
		self: Peer{
			ID:          PeerID(cfg.Instance, cfg.Program),
			Instance:    cfg.Instance,
			Program:     cfg.Program,
			Zone:        cfg.Zone,
			Address:     cfg.Address,
			Incarnation: newIncarnation(),
			State:       Alive,
		},
	}
	m.currentView.Store(&publishedView{view: &View{}, changed: make(chan struct{})})
	m.endpoint = link.NewEndpoint(link.Config{
		Self: link.Hello{
			Identity:    link.Identity{Deployment: cfg.Deployment, Instance: cfg.Instance, Program: string(cfg.Program)},
			Zone:        cfg.Zone,
			Address:     cfg.Address,
			Incarnation: m.self.Incarnation,
		},
		Keys:      cfg.Keys,
		Transport: cfg.Transport,
		Handler:   connHandler{m},
		Port:      cfg.Port,
	})
	m.meters = newMeters(cfg.Scope, m.endpoint.Bytes())
	return m, nil
}

// Self implements Group.
func (m *Membership) Self() Peer { return m.self }

// View implements Group.
func (m *Membership) View() *View { return m.currentView.Load().view }

// Changed implements Group. A caller that must not miss a change calls it before
// View.
func (m *Membership) Changed() <-chan struct{} { return m.currentView.Load().changed }

// Handle implements Group.
func (m *Membership) Handle(method string, h Handler) { m.handlers[method] = h }

// Attach implements Group. A value is sent once on every new connection and again
// when it changes. A change is sent without waiting for the next regular heartbeat,
// but no sooner than a quarter of the heartbeat interval after the last one; the
// interval is longer between zones.
func (m *Membership) Attach(key string, f func() any) {
	m.attachments = append(m.attachments, attachment{key, f})
}

// OnAttached implements Group. f runs on a connection's reading goroutine and
// must not block.
func (m *Membership) OnAttached(key string, f func(from Peer, value json.RawMessage)) {
	m.listeners[key] = append(m.listeners[key], f)
}

// Bytes returns the counters of the bytes sent to and received from peers.
func (m *Membership) Bytes() *meter.Bytes { return m.endpoint.Bytes() }

// Leave announces to the peers that this process is about to stop. Calls still work
// until Run returns.
func (m *Membership) Leave() {
	m.leaving.Store(true)
	m.mu.Lock()
	m.sendNow = true
	m.mu.Unlock()
	m.wakeLoop()
}

// wakeLoop makes the loop run a step now.
func (m *Membership) wakeLoop() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// now returns the time since New was called, by the monotonic clock.
func (m *Membership) now() time.Duration { return time.Since(m.start) }

// On shutdown the loop runs stopSteps more steps, with a pause after each, so
// that the last heartbeats are sent.
const (
	stopSteps = 4
	stopPause = 50 * time.Millisecond
)

// Run listens for peers and maintains the connections and the view until ctx ends;
// it then announces to the peers that this process stops. It fails where the
// listener does.
func (m *Membership) Run(ctx context.Context) error {
	serving, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	served := make(chan error, 1)
	go func() { served <- m.endpoint.Serve(serving) }()
	pollCtx, stopPolling := context.WithCancel(ctx)
	var background sync.WaitGroup
	background.Go(func() { m.pollList(pollCtx) })
	background.Go(func() { m.dialSeeds(pollCtx) })
	err := m.loop(ctx, serving, served)
	stop()
	stopPolling()
	background.Wait()
	if err == nil {
		err = <-served
	}
	return err
}

// loop runs a step four times in a heartbeat interval and whenever it is woken.
func (m *Membership) loop(ctx, serving context.Context, served <-chan error) error {
	ticker := time.NewTicker(m.cfg.Heartbeat / stepsPerHeartbeat)
	defer ticker.Stop()
	for {
		changed := m.updateAttachments()
		m.step(serving, changed)
		select {
		case <-ctx.Done():
			m.announceStop(serving)
			return nil
		case err := <-served:
			return err
		case <-ticker.C:
		case <-m.wake:
		}
	}
}

// announceStop announces to the peers that this process stops now.
func (m *Membership) announceStop(serving context.Context) {
	m.Leave()
	m.stopped.Store(true)
	for range stopSteps {
		m.step(serving, false)
		time.Sleep(stopPause)
	}
}
