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

// Members is the Group of a running process.
type Members struct {
	cfg      Config
	self     Peer
	start    time.Time
	endpoint *link.Endpoint
	leaving  atomic.Bool
	gone     atomic.Bool
	current  atomic.Pointer[published]
	wake     chan struct{}
	meters   *meters

	handlers    map[string]Handler
	listeners   map[string][]func(from Peer, value json.RawMessage)
	attachments []attachment

	mu       sync.Mutex
	peers    map[string]*peer
	attached map[string]string // newest values as JSON
	pushed   bool              // a value or the roster changed and is to be sent at once
	dirty    bool              // a peer changed since the view was published
}

// published is a view and the channel that tells of the next one.
type published struct {
	view    *View
	changed chan struct{}
}

type attachment struct {
	key   string
	value func() any
}

var _ Group = (*Members)(nil)

// New returns the membership of a process. Nothing is sent before Run.
func New(cfg Config) (*Members, error) {
	if err := cfg.complete(); err != nil {
		return nil, err
	}
	m := &Members{
		cfg:       cfg,
		start:     time.Now(),
		wake:      make(chan struct{}, 1),
		handlers:  map[string]Handler{},
		listeners: map[string][]func(Peer, json.RawMessage){},
		peers:     map[string]*peer{},
		attached:  map[string]string{},
		self: Peer{
			ID:          IDOf(cfg.Instance, cfg.Program),
			Instance:    cfg.Instance,
			Program:     cfg.Program,
			Zone:        cfg.Zone,
			Address:     cfg.Address,
			Incarnation: newIncarnation(),
			State:       Alive,
		},
	}
	m.current.Store(&published{view: &View{}, changed: make(chan struct{})})
	m.endpoint = link.NewEndpoint(link.Config{
		Self: link.Hello{
			Identity:    link.Identity{Deployment: cfg.Deployment, Instance: cfg.Instance, Program: string(cfg.Program)},
			Zone:        cfg.Zone,
			Address:     cfg.Address,
			Incarnation: m.self.Incarnation,
		},
		Keys:      cfg.Keys,
		Transport: cfg.Transport,
		Handler:   events{m},
	})
	m.meters = newMeters(cfg.Scope, m.endpoint.Bytes())
	return m, nil
}

// Self implements Group.
func (m *Members) Self() Peer { return m.self }

// View implements Group.
func (m *Members) View() *View { return m.current.Load().view }

// Changed implements Group. To miss no change, call it before View.
func (m *Members) Changed() <-chan struct{} { return m.current.Load().changed }

// Handle implements Group.
func (m *Members) Handle(method string, h Handler) { m.handlers[method] = h }

// Attach implements Group. A value is sent when it changed and once on every
// new connection; a changed one is sent at once to the own zone and within a
// heartbeat to the others.
func (m *Members) Attach(key string, f func() any) {
	m.attachments = append(m.attachments, attachment{key, f})
}

// OnAttached implements Group. f runs on a connection's reading goroutine and
// must not block.
func (m *Members) OnAttached(key string, f func(from Peer, value json.RawMessage)) {
	m.listeners[key] = append(m.listeners[key], f)
}

// Bytes counts what passed the sockets between the peers.
func (m *Members) Bytes() *meter.Bytes { return m.endpoint.Bytes() }

// Leave tells the peers that this process leaves. Calls go on until Run ends.
func (m *Members) Leave() {
	m.leaving.Store(true)
	m.mu.Lock()
	m.pushed = true
	m.mu.Unlock()
	m.poke()
}

// poke makes the loop run at once.
func (m *Members) poke() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// now is the time since the process started, on the monotonic clock.
func (m *Members) now() time.Duration { return time.Since(m.start) }

// The last heartbeats are given farewellSteps times farewellPause to be sent.
const (
	farewellSteps = 4
	farewellPause = 50 * time.Millisecond
)

// Run listens, keeps the connections and the view until ctx ends, and tells the
// peers then.
func (m *Members) Run(ctx context.Context) error {
	serving, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	served := make(chan error, 1)
	go func() { served <- m.endpoint.Serve(serving) }()
	looking, done := context.WithCancel(ctx)
	var background sync.WaitGroup
	background.Go(func() { m.poll(looking) })
	background.Go(func() { m.seed(looking) })
	err := m.loop(ctx, serving, served)
	stop()
	done()
	background.Wait()
	if err == nil {
		err = <-served
	}
	return err
}

// loop looks at every peer four times in a heartbeat.
func (m *Members) loop(ctx, serving context.Context, served <-chan error) error {
	ticker := time.NewTicker(m.cfg.Heartbeat / ticksPerBeat)
	defer ticker.Stop()
	for {
		changed := m.evaluate()
		m.step(serving, changed)
		select {
		case <-ctx.Done():
			m.part(serving)
			return nil
		case err := <-served:
			return err
		case <-ticker.C:
		case <-m.wake:
		}
	}
}

// part tells the peers that this process is gone.
func (m *Members) part(serving context.Context) {
	m.Leave()
	m.gone.Store(true)
	for range farewellSteps {
		m.step(serving, false)
		time.Sleep(farewellPause)
	}
}
