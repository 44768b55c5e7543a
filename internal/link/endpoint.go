package link

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"net"
	"sync"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"skylarkport/internal/ingress"
	"skylarkport/internal/meter"
	"skylarkport/internal/obs"
	"skylarkport/internal/result"
)

var logger = obs.Logger("link")

// Handler receives the events and messages of all connections of an endpoint.
type Handler interface {
	// Opened is called once when a connection is established, before any other
	// method for it.
	Opened(c *Conn)
	// Notified handles a notification. It runs on the goroutine that reads the
	// connection and must not block.
	Notified(c *Conn, method string, params json.RawMessage)
	// Called handles a call, on a goroutine of its own, and returns the response.
	Called(ctx context.Context, c *Conn, method string, params json.RawMessage) (any, error)
	// Closed is called once when an established connection is closed.
	Closed(c *Conn)
}

// Config holds the parameters of an endpoint.
type Config struct {
	Self      Hello
	Keys      *Keys     // nil for connections without TLS
	Transport Transport // nil for TCP
	Handler   Handler
	Port      *ingress.Port // bounds the peers that connect; nil for no bound
}

// Endpoint opens and accepts the connections of a process.
type Endpoint struct {
	cfg   Config
	bytes meter.Bytes
	ctx   context.Context // canceled when Serve returns; closes every connection
	stop  context.CancelFunc

	mu    sync.Mutex
	conns map[*Conn]bool
}

// NewEndpoint returns an endpoint without connections. Its peers can connect once
// Serve runs.
func NewEndpoint(cfg Config) *Endpoint {
	if cfg.Transport == nil {
		cfg.Transport = TCP{}
	}
	ctx, stop := context.WithCancel(context.Background())
	return &Endpoint{cfg: cfg, ctx: ctx, stop: stop, conns: map[*Conn]bool{}}
}

// Bytes returns the counters of the bytes read from and written to the sockets.
func (e *Endpoint) Bytes() *meter.Bytes { return &e.bytes }

// Serve listens for peers and accepts connections until ctx ends. It then closes
// every connection of the endpoint. With TLS it also watches the key files.
func (e *Endpoint) Serve(ctx context.Context) error {
	defer e.stop()
	l, err := e.cfg.Transport.Listen(e.cfg.Self.Address)
	if err != nil {
		return result.Wrap(result.SettingsAddress, err, "listen for peers")
	}
	if e.cfg.Port != nil {
		l = e.cfg.Port.Listener(l)
	}
	stop := context.AfterFunc(ctx, func() { _ = l.Close() })
	defer stop()
	if e.cfg.Keys != nil {
		go e.cfg.Keys.Watch(ctx, e.refuseUnverified)
	}
	return e.accept(ctx, l)
}

// acceptRetryDelay is the wait before the next accept after one failed.
const acceptRetryDelay = 100 * time.Millisecond

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
			logger.WithError(err).Warn("cannot accept a connection")
			time.Sleep(acceptRetryDelay)
			continue
		}
		go e.handleAccepted(ctx, raw)
	}
}

// handleAccepted performs the handshake on an accepted socket and closes the
// connection if it is not established in time.
func (e *Endpoint) handleAccepted(ctx context.Context, raw net.Conn) {
	c, err := e.secure(ctx, raw, false)
	if err != nil {
		logger.WithError(err).WithField("peer", raw.RemoteAddr()).Debug("TLS handshake failed")
		return
	}
	c.start()
	select {
	case <-time.After(2 * handshakeTimeout):
		if c.peer.Load() == nil {
			c.Close()
		}
	case <-c.Done():
	}
}

// Dial opens a connection to the process at address and returns it established. The
// error is result.PeerUnavailable where no process responds, or the reason for which one
// side refused the other.
func (e *Endpoint) Dial(ctx context.Context, address string) (*Conn, error) {
	dialCtx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	raw, err := e.cfg.Transport.Dial(dialCtx, address)
	if err != nil {
		return nil, result.Wrap(result.PeerUnavailable, err, address)
	}
	c, err := e.secure(dialCtx, raw, true)
	if err != nil {
		return nil, result.Wrap(result.PeerUnavailable, err, address)
	}
	c.start()
	if err := c.dialerHandshake(dialCtx); err != nil {
		logger.WithError(err).WithField("address", address).Warn("connection to the peer not established")
		c.Close()
		return nil, err
	}
	return c, nil
}

// secure performs the TLS handshake, if there are keys, and returns the connection
// for the socket.
func (e *Endpoint) secure(ctx context.Context, raw net.Conn, dialed bool) (*Conn, error) {
	countedConn := &writeTimeoutConn{e.bytes.Conn(raw)}
	c := &Conn{endpoint: e, raw: countedConn, dialed: dialed}
	c.bounded, _ = raw.(*ingress.Conn)
	if e.cfg.Keys == nil {
		return c, nil
	}
	tlsConn := tls.Server(countedConn, e.cfg.Keys.peerConfig())
	if dialed {
		tlsConn = tls.Client(countedConn, e.cfg.Keys.peerConfig())
	}
	handshakeCtx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	if err := tlsConn.HandshakeContext(handshakeCtx); err != nil {
		_ = raw.Close()
		return nil, err
	}
	c.raw = tlsConn
	c.peerChain = tlsConn.ConnectionState().PeerCertificates
	return c, nil
}

// start begins to read messages. Until the connection is established, Handle refuses
// all methods but those that establish it.
func (c *Conn) start() {
	ready := make(chan struct{})
	c.rpc = jsonrpc2.NewConn(c.endpoint.ctx, newStream(c.raw, c.bounded), delayedHandler{c, ready}, jsonrpc2.SetLogger(rpcLogger{}))
	close(ready)
}

// delayedHandler delays the first message until Conn.rpc is set: jsonrpc2.NewConn
// starts to read before it returns.
type delayedHandler struct {
	*Conn
	ready <-chan struct{}
}

// Handle implements jsonrpc2.Handler.
func (g delayedHandler) Handle(ctx context.Context, rpc *jsonrpc2.Conn, req *jsonrpc2.Request) {
	<-g.ready
	g.Conn.Handle(ctx, rpc, req)
}

// register registers an established connection and calls the handler, now and when the
// connection is closed.
func (e *Endpoint) register(c *Conn) {
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

// connections returns the established connections.
func (e *Endpoint) connections() []*Conn {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make([]*Conn, 0, len(e.conns))
	for c := range e.conns {
		out = append(out, c)
	}
	return out
}

// refuseUnverified verifies the peers' certificates again and refuses the
// connections of those that fail. It checks connections whose certificate has
// expired and, when the key files changed, all of them, as an authority may have
// been removed.
func (e *Endpoint) refuseUnverified(changed bool) {
	now := time.Now()
	for _, c := range e.connections() {
		if !changed && now.Before(c.peerChain[0].NotAfter) {
			continue
		}
		if _, err := e.cfg.Keys.verify(c.peerChain); err != nil {
			c.refuse(err)
		}
	}
}

// rpcLogger writes the messages of the jsonrpc2 library to the log.
type rpcLogger struct{}

// Printf implements jsonrpc2.Logger.
func (rpcLogger) Printf(format string, v ...any) { logger.Debugf(format, v...) }
