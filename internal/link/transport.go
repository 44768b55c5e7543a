package link

import (
	"context"
	"net"
	"time"
)

// Transport provides the byte streams that connections use. Tests replace it.
type Transport interface {
	Listen(address string) (net.Listener, error)
	Dial(ctx context.Context, address string) (net.Conn, error)
}

// TCP is the Transport for TCP.
type TCP struct{}

// Listen implements Transport.
func (TCP) Listen(address string) (net.Listener, error) { return net.Listen("tcp", address) }

// Dial implements Transport.
func (TCP) Dial(ctx context.Context, address string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", address)
}

// writeTimeoutConn limits the time of each write to writeTimeout.
type writeTimeoutConn struct {
	net.Conn
}

// Write implements io.Writer.
func (c *writeTimeoutConn) Write(b []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}
