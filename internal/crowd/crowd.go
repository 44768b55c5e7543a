// Package crowd plays many clients that send and hold as much as they are allowed to, and watches what they
// cost a process. It is for tests of the programs; a client only connects to loopback addresses.
package crowd

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// pieceBytes and pieceInterval are the size of a piece and the pause after it, for a client that sends
	// piece by piece.
	pieceBytes    = 16 << 10
	pieceInterval = 100 * time.Millisecond
	// reopenPause is the pause of a client whose connection was closed or not accepted.
	reopenPause = 50 * time.Millisecond
	dialTimeout = 2 * time.Second
)

// ErrNotLoopback means that a crowd was pointed at an address that is not on this machine.
var ErrNotLoopback = errors.New("not a loopback address")

// Form is what each client of a crowd sends on a connection.
type Form struct {
	Name string
	// Bytes are sent as they are. The client then holds the connection until the other side closes it.
	Bytes []byte
	// Next returns the bytes of the nth connection, in place of Bytes, if it is set.
	Next func(n int64) []byte
	// Pieces sends Bytes in pieces, with a pause after each.
	Pieces bool
	// Unread leaves the responses in the connection's buffers.
	Unread bool
	// Complete closes a connection as soon as a response has begun.
	Complete bool
}

// Crowd holds the size of a crowd.
type Crowd struct {
	Address string // IP:port on the loopback network
	Form    Form
	Conns   int // connections at a time
	// Duration is how long connections that the other side closes are opened again. All are closed then.
	Duration time.Duration
}

// Totals counts what a crowd did.
type Totals struct {
	Opened int64 // connections
	Closed int64 // connections that the other side closed, refused or answered
}

// Play plays a crowd and returns when all of its connections are closed. The error is ErrNotLoopback.
func (c *Crowd) Play(ctx context.Context) (Totals, error) {
	if a, err := netip.ParseAddrPort(c.Address); err != nil || !a.Addr().IsLoopback() {
		return Totals{}, fmt.Errorf("%w: %s", ErrNotLoopback, c.Address)
	}
	ctx, cancel := context.WithTimeout(ctx, c.Duration)
	defer cancel()
	var opened, closed atomic.Int64
	var wg sync.WaitGroup
	for range c.Conns {
		wg.Go(func() {
			for ctx.Err() == nil {
				if c.Form.hold(ctx, c.Address, &opened) && ctx.Err() == nil {
					closed.Add(1)
				}
				select {
				case <-ctx.Done():
				case <-time.After(reopenPause):
				}
			}
		})
	}
	wg.Wait()
	return Totals{Opened: opened.Load(), Closed: closed.Load()}, nil
}

// hold opens a connection, sends the form's bytes and holds the connection until the other side closes it or
// ctx ends. It reports whether a connection was opened.
func (f *Form) hold(ctx context.Context, address string, opened *atomic.Int64) bool {
	d := net.Dialer{Timeout: dialTimeout}
	conn, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return false
	}
	b := f.Bytes
	if n := opened.Add(1); f.Next != nil {
		b = f.Next(n)
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	ended := make(chan struct{})
	if !f.Unread {
		go func() {
			defer close(ended)
			f.read(conn)
		}()
	}
	f.send(ctx, conn, b)
	select {
	case <-ctx.Done():
	case <-ended:
	}
	return true
}

// read reads responses until the connection is closed, and closes it after the first one if the form is
// complete.
func (f *Form) read(conn net.Conn) {
	b := make([]byte, 512)
	for {
		_, err := conn.Read(b)
		if err != nil || f.Complete {
			_ = conn.Close()
			return
		}
	}
}

// send sends b as far as the other side takes it.
func (f *Form) send(ctx context.Context, conn net.Conn, b []byte) {
	if !f.Pieces {
		_, _ = conn.Write(b)
		return
	}
	for rest := b; len(rest) > 0 && ctx.Err() == nil; {
		n := min(len(rest), pieceBytes)
		if _, err := conn.Write(rest[:n]); err != nil {
			return
		}
		rest = rest[n:]
		select {
		case <-ctx.Done():
		case <-time.After(pieceInterval):
		}
	}
}
