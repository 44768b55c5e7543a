package link

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"net"
	"sync"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"skylarkport/internal/meter"
	"skylarkport/internal/obs"
	"skylarkport/internal/result"
)

var logger = obs.Logger("link")

// Handler takes what arrives on the connections.
type Handler interface {
	// Opened is called once for a connection, before anything else.
	Opened(c *Conn)
	// Notified takes a notification. It runs on the reading goroutine and
	// must not block.
	Notified(c *Conn, method string, params json.RawMessage)
	// Called answers a call on a goroutine of its own.
	Called(ctx context.Context, c *Conn, method string, params json.RawMessage) (any, error)
	// Closed is called once for a connection that was opened.
	Closed(c *Conn)
}

// Config describes an endpoint.
type Config struct {
	Self      Hello
	Keys      *Keys // nil for links in clear
	Transport Transport
	Handler   Handler
}

// Endpoint makes and accepts the connections of a process.
type Endpoint struct {
	cfg   Config
	bytes meter.Bytes
	ctx   context.Context // ends with Serve; every connection with it
	stop  context.CancelFunc

	mu    sync.Mutex
	conns map[*Conn]bool
}

// NewEndpoint returns an endpoint that has no connection yet.
func NewEndpoint(cfg Config) *Endpoint {
	if cfg.Transport == nil {
		cfg.Transport = TCP{}
	}
	ctx, stop := context.WithCancel(context.Background())
	return &Endpoint{cfg: cfg, ctx: ctx, stop: stop, conns: map[*Conn]bool{}}
}

// Bytes counts what passed the sockets.
func (e *Endpoint) Bytes() *meter.Bytes { return &e.bytes }

// Serve accepts connections until ctx ends, and closes every connection then.
func (e *Endpoint) Serve(ctx context.Context) error {
	defer e.stop()
	l, err := e.cfg.Transport.Listen(e.cfg.Self.Address)
	if err != nil {
		return result.Wrap(result.SettingsAddress, err, "the peer listener")
	}
	stop := context.AfterFunc(ctx, func() { _ = l.Close() })
	defer stop()
	if e.cfg.Keys != nil {
		go e.cfg.Keys.Watch(ctx, e.recheck)
	}
	return e.accept(ctx, l)
}

// acceptPause is the wait after a failed accept.
const acceptPause = 100 * time.Millisecond

func (e *Endpoint) accept(ctx context.Context, l net.Listener) error {
	for {
		raw, err := l.Accept()
		if ctx.Err() != nil {
			if err == nil {
				_ = raw.Close()
			}
			return nil
		}
		if err != nil {
			logger.WithError(err).Warn("accepting failed")
			time.Sleep(acceptPause)
			continue
		}
		go e.accepted(ctx, raw)
	}
}

func (e *Endpoint) accepted(ctx context.Context, raw net.Conn) {
	c, err := e.secure(ctx, raw, false)
	if err != nil {
		logger.WithError(err).WithField("peer", raw.RemoteAddr()).Debug("a handshake failed")
		return
	}
	c.start()
	select {
	case <-time.After(2 * greetTimeout):
		if c.peer.Load() == nil {
			c.Close()
		}
	case <-c.Done():
	}
}

// Dial connects to the process at address.
func (e *Endpoint) Dial(ctx context.Context, address string) (*Conn, error) {
	dialing, cancel := context.WithTimeout(ctx, greetTimeout)
	defer cancel()
	raw, err := e.cfg.Transport.Dial(dialing, address)
	if err != nil {
		return nil, result.Wrap(result.PeerAway, err, address)
	}
	c, err := e.secure(dialing, raw, true)
	if err != nil {
		return nil, result.Wrap(result.PeerAway, err, address)
	}
	c.start()
	if err := c.introduce(dialing); err != nil {
		logger.WithError(err).WithField("address", address).Warn("no link to the peer")
		c.Close()
		return nil, err
	}
	return c, nil
}

// secure makes the TLS handshake, or none in clear.
func (e *Endpoint) secure(ctx context.Context, raw net.Conn, dialed bool) (*Conn, error) {
	counted := &timedConn{e.bytes.Conn(raw)}
	c := &Conn{endpoint: e, raw: counted, dialed: dialed}
	if e.cfg.Keys == nil {
		return c, nil
	}
	secured := tls.Server(counted, e.cfg.Keys.peerConfig())
	if dialed {
		secured = tls.Client(counted, e.cfg.Keys.peerConfig())
	}
	shaking, cancel := context.WithTimeout(ctx, greetTimeout)
	defer cancel()
	if err := secured.HandshakeContext(shaking); err != nil {
		_ = raw.Close()
		return nil, err
	}
	c.raw = secured
	c.chain = secured.ConnectionState().PeerCertificates
	return c, nil
}

// start begins reading. Methods other than the greeting's are refused until
// the peer has introduced itself.
func (c *Conn) start() {
	ready := make(chan struct{})
	c.rpc = jsonrpc2.NewConn(c.endpoint.ctx, newStream(c.raw), gate{c, ready}, jsonrpc2.SetLogger(rpcLog{}))
	close(ready)
}

// gate holds the first message back until Conn.rpc is set.
type gate struct {
	*Conn
	ready <-chan struct{}
}

// Handle implements jsonrpc2.Handler.
func (g gate) Handle(ctx context.Context, rpc *jsonrpc2.Conn, req *jsonrpc2.Request) {
	<-g.ready
	g.Conn.Handle(ctx, rpc, req)
}

// opened makes the connection known.
func (e *Endpoint) opened(c *Conn) {
	e.mu.Lock()
	e.conns[c] = true
	e.mu.Unlock()
	e.cfg.Handler.Opened(c)
	go func() {
		<-c.Done()
		e.mu.Lock()
		delete(e.conns, c)
		e.mu.Unlock()
		e.cfg.Handler.Closed(c)
	}()
}

func (e *Endpoint) all() []*Conn {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make([]*Conn, 0, len(e.conns))
	for c := range e.conns {
		out = append(out, c)
	}
	return out
}

// recheck closes the connections whose certificates no longer hold: those that
// expired, and after a change of the keys those that no authority vouches for.
func (e *Endpoint) recheck(changed bool) {
	now := time.Now()
	for _, c := range e.all() {
		if !changed && now.Before(c.chain[0].NotAfter) {
			continue
		}
		if _, err := e.cfg.Keys.verify(c.chain); err != nil {
			c.refuse(err)
		}
	}
}

// rpcLog takes the messages of the jsonrpc2 library.
type rpcLog struct{}

// Printf implements jsonrpc2.Logger.
func (rpcLog) Printf(format string, v ...any) { logger.Debugf(format, v...) }
