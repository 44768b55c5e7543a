package forward

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"skylarkport/internal/route"
)

// Settings of the connections to upstreams.
const (
	dialTimeout     = 2 * time.Second
	idleTimeout     = 30 * time.Second
	idlePerUpstream = 8
	connBuffer      = 2 << 10 // bytes of each buffer of a connection
	maxAnswerHeader = 32 << 10
)

var (
	errNoConn = errors.New("no connection of the worker is left to this entry")
	errSealed = errors.New("the request was given up")
)

// Dialer opens connections.
type Dialer func(ctx context.Context, network, address string) (net.Conn, error)

// NewTransport returns the transport of a worker's upstreams. It opens no more
// connections than the worker's gauge allows.
func NewTransport(w *route.Worker, dial Dialer) *http.Transport {
	t := baseTransport()
	t.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		if !w.Conns.TryAcquire() {
			t.CloseIdleConnections()
			if !w.Conns.TryAcquire() {
				return nil, errNoConn
			}
		}
		c, err := dial(ctx, network, address)
		if err != nil {
			w.Conns.Release()
			return nil, err
		}
		return &conn{Conn: c, release: w.Conns.Release}, nil
	}
	return t
}

// NewZoneTransport returns the transport to the entries of other zones.
func NewZoneTransport(dial Dialer) *http.Transport {
	t := baseTransport()
	t.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: c, release: func() {}}, nil
	}
	return t
}

func baseTransport() *http.Transport {
	return &http.Transport{
		DisableCompression:     true,
		MaxIdleConnsPerHost:    idlePerUpstream,
		IdleConnTimeout:        idleTimeout,
		ReadBufferSize:         connBuffer,
		WriteBufferSize:        connBuffer,
		MaxResponseHeaderBytes: maxAnswerHeader,
	}
}

// DialTCP is the Dialer of the programs.
func DialTCP(ctx context.Context, network, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout}
	return d.DialContext(ctx, network, address)
}

// conn counts the writes that it lets pass, so that a failed request can be
// proved not to have been sent.
type conn struct {
	net.Conn
	writes  atomic.Int64 // begun
	sealed  atomic.Bool
	expires atomic.Pointer[time.Time] // no later write is passed; nil for none
	once    sync.Once
	release func()
}

// Write implements net.Conn. The write is counted before the seal is checked:
// a write that seal did not count finds the seal. A process that was paused
// sends nothing after the deadline.
func (c *conn) Write(b []byte) (int, error) {
	c.writes.Add(1)
	if c.sealed.Load() {
		return 0, errSealed
	}
	if t := c.expires.Load(); t != nil && !time.Now().Before(*t) {
		return 0, errSealed
	}
	return c.Conn.Write(b)
}

// seal stops all later writes and returns the number of those that may have
// passed.
func (c *conn) seal() int64 {
	c.sealed.Store(true)
	return c.writes.Load()
}

// Close implements net.Conn.
func (c *conn) Close() error {
	err := c.Conn.Close()
	c.once.Do(c.release)
	return err
}
