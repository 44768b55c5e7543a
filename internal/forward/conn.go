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

// Limits of the connections to upstreams and to entries of other zones.
const (
	dialTimeout            = 2 * time.Second
	idleTimeout            = 30 * time.Second
	maxIdleConnsPerHost    = 8
	connBufferBytes        = 2 << 10 // read and write buffer, each
	maxResponseHeaderBytes = 32 << 10
)

var (
	errConnLimit     = errors.New("this entry has used up its connections to the worker")
	errWritesBlocked = errors.New("the attempt has ended or its deadline has passed")
)

// Dialer opens a network connection, like net.Dialer.DialContext.
type Dialer func(ctx context.Context, network, address string) (net.Conn, error)

// NewTransport returns the transport for the upstreams on a worker. It opens no
// more connections than the semaphore w.Conns allows. If none is left, it closes
// the idle ones and tries again once.
func NewTransport(w *route.Worker, dial Dialer) *http.Transport {
	t := baseTransport()
	t.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		if !w.Conns.TryAcquire() {
			t.CloseIdleConnections()
			if !w.Conns.TryAcquire() {
				return nil, errConnLimit
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

// NewZoneTransport returns the transport to the entries of other zones. It does
// not limit the number of connections.
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
		MaxIdleConnsPerHost:    maxIdleConnsPerHost,
		IdleConnTimeout:        idleTimeout,
		ReadBufferSize:         connBufferBytes,
		WriteBufferSize:        connBufferBytes,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
	}
}

// DialTCP is the Dialer for real networks; tests replace it by an in-memory one.
func DialTCP(ctx context.Context, network, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout}
	return d.DialContext(ctx, network, address)
}

// conn counts the writes on a connection and can block further ones. With that an
// attempt can prove that nothing of a failed request was sent.
type conn struct {
	net.Conn
	writes        atomic.Int64 // number of writes begun, blocked ones included
	writesBlocked atomic.Bool
	writeDeadline atomic.Pointer[time.Time] // time from which writes fail; nil for none
	once          sync.Once
	release       func()
}

// Write implements net.Conn. The write is counted before writesBlocked is
// checked, so a write that blockWrites did not count finds writes blocked. The
// deadline is checked as well: a process that was paused must not send a request
// whose deadline has passed in the meantime.
func (c *conn) Write(b []byte) (int, error) {
	c.writes.Add(1)
	if c.writesBlocked.Load() {
		return 0, errWritesBlocked
	}
	if t := c.writeDeadline.Load(); t != nil && !time.Now().Before(*t) {
		return 0, errWritesBlocked
	}
	return c.Conn.Write(b)
}

// blockWrites makes all later writes fail and returns the number of earlier ones,
// any of which may have sent data.
func (c *conn) blockWrites() int64 {
	c.writesBlocked.Store(true)
	return c.writes.Load()
}

// Close implements net.Conn. It releases the connection's place in the limit once.
func (c *conn) Close() error {
	err := c.Conn.Close()
	c.once.Do(c.release)
	return err
}
