package member

import (
	"context"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

// memNet is an in-memory network with a delay, whose routes can be blocked in one
// direction. A blocked route keeps the bytes until it is unblocked, as TCP does.
type memNet struct {
	delay time.Duration

	mu            sync.Mutex
	listeners     map[string]*memListener
	blockedRoutes map[route]bool
	changed       chan struct{} // closed and replaced when blockedRoutes changes
	conns         map[*memConn]bool
	killed        map[string]bool
}

// route is the direction from one process to another, by address.
type route struct{ from, to string }

func newNet(delay time.Duration) *memNet {
	return &memNet{
		delay:         delay,
		listeners:     map[string]*memListener{},
		blockedRoutes: map[route]bool{},
		changed:       make(chan struct{}),
		conns:         map[*memConn]bool{},
		killed:        map[string]bool{},
	}
}

// setBlocked blocks or unblocks the routes from one set of addresses to another.
func (n *memNet) setBlocked(blocked bool, from, to []string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, a := range from {
		for _, b := range to {
			if a != b {
				n.blockedRoutes[route{a, b}] = blocked
			}
		}
	}
	close(n.changed)
	n.changed = make(chan struct{})
}

// setBlockedBoth blocks or unblocks both directions.
func (n *memNet) setBlockedBoth(blocked bool, a, b []string) {
	n.setBlocked(blocked, a, b)
	n.setBlocked(blocked, b, a)
}

// kill removes the listener of a process and resets its connections.
func (n *memNet) kill(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.killed[address] = true
	delete(n.listeners, address)
	for c := range n.conns {
		if c.from == address || c.to == address {
			c.reset()
		}
	}
}

// blocked reports whether the route is blocked, and returns a channel that is closed
// when that may have changed.
func (n *memNet) blocked(from, to string) (bool, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.blockedRoutes[route{from, to}], n.changed
}

// memHost is the network as one process sees it.
type memHost struct {
	net     *memNet
	address string
}

func (h memHost) Listen(address string) (net.Listener, error) {
	h.net.mu.Lock()
	defer h.net.mu.Unlock()
	l := &memListener{net: h.net, address: address, accept: make(chan net.Conn, 64), closed: make(chan struct{})}
	h.net.listeners[address] = l
	delete(h.net.killed, address)
	return l, nil
}

func (h memHost) Dial(ctx context.Context, address string) (net.Conn, error) {
	for _, r := range []route{{h.address, address}, {address, h.address}} {
		for {
			blocked, changed := h.net.blocked(r.from, r.to)
			if !blocked {
				break
			}
			select {
			case <-changed:
			case <-ctx.Done():
				return nil, ctx.Err()
			}
		}
	}
	h.net.mu.Lock()
	defer h.net.mu.Unlock()
	l := h.net.listeners[address]
	if l == nil || h.net.killed[h.address] {
		return nil, syscall.ECONNREFUSED
	}
	out, in := newHalf(), newHalf()
	a := &memConn{net: h.net, from: h.address, to: address, out: out, in: in}
	b := &memConn{net: h.net, from: address, to: h.address, out: in, in: out}
	h.net.conns[a], h.net.conns[b] = true, true
	l.accept <- b
	return a, nil
}

type memListener struct {
	net     *memNet
	address string
	accept  chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

func (l *memListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accept:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *memListener) Close() error {
	l.once.Do(func() {
		close(l.closed)
		l.net.mu.Lock()
		defer l.net.mu.Unlock()
		if l.net.listeners[l.address] == l {
			delete(l.net.listeners, l.address)
		}
	})
	return nil
}

func (l *memListener) Addr() net.Addr { return memAddr(l.address) }

type memAddr string

func (memAddr) Network() string  { return "mem" }
func (a memAddr) String() string { return string(a) }

// pipeHalf is one direction of a connection.
type pipeHalf struct {
	mu     sync.Mutex
	queue  []chunk
	closed bool // by the writer; the reader still gets what is queued
	broken bool // reset
	signal chan struct{}
}

type chunk struct {
	data []byte
	due  time.Time
}

func newHalf() *pipeHalf { return &pipeHalf{signal: make(chan struct{})} }

// update runs f and wakes the reader.
func (h *pipeHalf) update(f func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	f()
	close(h.signal)
	h.signal = make(chan struct{})
}

type memConn struct {
	net      *memNet
	from, to string
	out, in  *pipeHalf
}

func (c *memConn) reset() {
	c.in.update(func() { c.in.broken = true })
	c.out.update(func() { c.out.broken = true })
}

func (c *memConn) Write(b []byte) (int, error) {
	var err error
	c.out.update(func() {
		if c.out.broken || c.out.closed {
			err = syscall.EPIPE
			return
		}
		c.out.queue = append(c.out.queue, chunk{append([]byte(nil), b...), time.Now().Add(c.net.delay)})
	})
	return len(b), err
}

func (c *memConn) Read(b []byte) (int, error) {
	for {
		blocked, changed := c.net.blocked(c.to, c.from)
		c.in.mu.Lock()
		n, wait, err := c.in.readDue(b, blocked)
		signal := c.in.signal
		c.in.mu.Unlock()
		if n > 0 || err != nil {
			return n, err
		}
		var due <-chan time.Time
		if wait > 0 {
			due = time.After(wait)
		}
		select {
		case <-due:
		case <-changed:
		case <-signal:
		}
	}
}

// readDue reads the bytes that have arrived, or returns the time until the next ones
// arrive. The caller holds h.mu.
func (h *pipeHalf) readDue(b []byte, blocked bool) (int, time.Duration, error) {
	switch {
	case h.broken:
		return 0, 0, syscall.ECONNRESET
	case blocked:
		return 0, 0, nil
	case len(h.queue) == 0 && h.closed:
		return 0, 0, io.EOF
	case len(h.queue) == 0:
		return 0, 0, nil
	}
	if wait := time.Until(h.queue[0].due); wait > 0 {
		return 0, wait, nil
	}
	n := copy(b, h.queue[0].data)
	h.queue[0].data = h.queue[0].data[n:]
	if len(h.queue[0].data) == 0 {
		h.queue = h.queue[1:]
	}
	return n, 0, nil
}

func (c *memConn) Close() error {
	c.out.update(func() { c.out.closed = true })
	c.in.update(func() { c.in.broken = true })
	c.net.mu.Lock()
	defer c.net.mu.Unlock()
	delete(c.net.conns, c)
	return nil
}

func (c *memConn) LocalAddr() net.Addr              { return memAddr(c.from) }
func (c *memConn) RemoteAddr() net.Addr             { return memAddr(c.to) }
func (c *memConn) SetDeadline(time.Time) error      { return nil }
func (c *memConn) SetReadDeadline(time.Time) error  { return nil }
func (c *memConn) SetWriteDeadline(time.Time) error { return nil }
