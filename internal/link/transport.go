package link

import (
	"context"
	"net"
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

// timedConn bounds the time of a write.
type timedConn struct {
	net.Conn
}

// Write implements io.Writer.
func (c *timedConn) Write(b []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}
