package entrybench

import (
	"context"
	"net"
	"sync"
)

// pipeListener is an in-memory listener, whose connections need no file
// descriptors, so that the limit on them does not bound the number of requests
// in flight.
type pipeListener struct {
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once
}

func newPipeListener() *pipeListener {
	return &pipeListener{conns: make(chan net.Conn), done: make(chan struct{})}
}

// Accept implements net.Listener.
func (p *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-p.conns:
		return c, nil
	case <-p.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (p *pipeListener) Close() error {
	p.once.Do(func() { close(p.done) })
	return nil
}

type pipeAddr struct{}

func (pipeAddr) Network() string { return "pipe" }
func (pipeAddr) String() string  { return "pipe" }

// Addr implements net.Listener.
func (p *pipeListener) Addr() net.Addr { return pipeAddr{} }

// dial connects to the listener.
func (p *pipeListener) dial(ctx context.Context, _, _ string) (net.Conn, error) {
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
