package entrybench

import (
	"context"
	"net"
	"sync"
)

// pipes is a listener in memory, so that many connections need no file
// descriptors.
type pipes struct {
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once
}

func newPipes() *pipes {
	return &pipes{conns: make(chan net.Conn), done: make(chan struct{})}
}

// Accept implements net.Listener.
func (p *pipes) Accept() (net.Conn, error) {
	select {
	case c := <-p.conns:
		return c, nil
	case <-p.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (p *pipes) Close() error {
	p.once.Do(func() { close(p.done) })
	return nil
}

type pipeAddr struct{}

func (pipeAddr) Network() string { return "pipe" }
func (pipeAddr) String() string  { return "pipe" }

// Addr implements net.Listener.
func (p *pipes) Addr() net.Addr { return pipeAddr{} }

// dial connects to the listener.
func (p *pipes) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	a, b := net.Pipe()
	select {
	case p.conns <- b:
		return a, nil
	case <-p.done:
		return nil, net.ErrClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}
