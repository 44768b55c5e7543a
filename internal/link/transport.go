package link

import (
	"context"
	"net"
	"sync/atomic"
	"time"
)

// Transport makes the byte streams below the links.
type Transport interface {
	Listen(address string) (net.Listener, error)
	Dial(ctx context.Context, address string) (net.Conn, error)
}

// TCP is the Transport of the daemons.
type TCP struct{}

// Listen implements Transport.
func (TCP) Listen(address string) (net.Listener, error) { return net.Listen("tcp", address) }

// Dial implements Transport.
func (TCP) Dial(ctx context.Context, address string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", address)
}

// Bytes counts what passed the sockets of a process.
type Bytes struct {
	In  atomic.Int64
	Out atomic.Int64
}

// countedConn counts bytes, bounds the time of a write and the size of a
// message.
type countedConn struct {
	net.Conn
	bytes *Bytes
}

// Read implements io.Reader.
func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.In.Add(int64(n))
	return n, err
}

// Write implements io.Writer.
func (c *countedConn) Write(b []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(b)
	c.bytes.Out.Add(int64(n))
	return n, err
}
