// Package meter counts the bytes that a process sends and receives on its network
// connections.
package meter

import (
	"net"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
)

// Bytes counts received (In) and sent (Out) bytes. The zero value is ready to use.
type Bytes struct {
	In  atomic.Int64
	Out atomic.Int64
}

// Conn wraps c so that its bytes are counted in b.
func (b *Bytes) Conn(c net.Conn) net.Conn { return &conn{Conn: c, bytes: b} }

// conn is a connection whose bytes are counted.
type conn struct {
	net.Conn
	bytes *Bytes
}

// Read implements io.Reader.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.In.Add(int64(n))
	return n, err
}

// Write implements io.Writer.
func (c *conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Out.Add(int64(n))
	return n, err
}

// reportInterval is the interval at which Report updates the counters.
const reportInterval = time.Second

// Report adds the counted bytes to the counters bytes_in and bytes_out of scope at
// an interval until done is closed.
func (b *Bytes) Report(done <-chan struct{}, scope tally.Scope) {
	in, out := scope.Counter("bytes_in"), scope.Counter("bytes_out")
	t := time.NewTicker(reportInterval)
	defer t.Stop()
	var lastIn, lastOut int64
	for {
		select {
		case <-done:
			return
		case <-t.C:
		}
		nowIn, nowOut := b.In.Load(), b.Out.Load()
		in.Inc(nowIn - lastIn)
		out.Inc(nowOut - lastOut)
		lastIn, lastOut = nowIn, nowOut
	}
}
