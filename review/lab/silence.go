package main

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// channels are the open connections to a stand-in. They can go silent for good, while new ones work.
type channels struct {
	net.Listener
	mu   sync.Mutex
	open map[*channel]bool
}

// channel is a connection that may be silent.
type channel struct {
	net.Conn
	silent atomic.Bool
	owner  *channels
}

func newChannels(l net.Listener) *channels { return &channels{Listener: l, open: map[*channel]bool{}} }

// Accept implements net.Listener.
func (c *channels) Accept() (net.Conn, error) {
	conn, err := c.Listener.Accept()
	if err != nil {
		return nil, err
	}
	ch := &channel{Conn: conn, owner: c}
	c.mu.Lock()
	c.open[ch] = true
	c.mu.Unlock()
	return ch, nil
}

// silence makes all open connections silent.
func (c *channels) silence() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for ch := range c.open {
		ch.silent.Store(true)
	}
}

// Read implements net.Conn.
func (c *channel) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if err != nil || !c.silent.Load() {
			return n, err
		}
	}
}

// Write implements net.Conn.
func (c *channel) Write(b []byte) (int, error) {
	if c.silent.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// SetReadDeadline implements net.Conn. A silent connection stays open until its other end closes it.
func (c *channel) SetReadDeadline(t time.Time) error {
	if c.silent.Load() {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// Close implements net.Conn.
func (c *channel) Close() error {
	c.owner.mu.Lock()
	delete(c.owner.open, c)
	c.owner.mu.Unlock()
	return c.Conn.Close()
}
