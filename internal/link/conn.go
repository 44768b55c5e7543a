package link

import (
	"context"
	"crypto/x509"
	"encoding/json"
	"net"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/jsonrpc2"

	"skylarkport/internal/ingress"
	"skylarkport/internal/result"
)

// Timeouts and limits of a connection.
const (
	// writeTimeout limits a write to the socket. A connection whose write takes
	// longer is closed.
	writeTimeout = 5 * time.Second
	// handshakeTimeout limits the TLS handshake; a dial with its handshake and
	// hello must also fit into it as a whole.
	handshakeTimeout = 2 * time.Second
	// maxConcurrentCalls limits the calls of a peer that run at once on one connection.
	maxConcurrentCalls = 1024
)

// Methods with which a connection is established.
const (
	helloMethod  = "hello"  // call: each side sends its Hello
	readyMethod  = "ready"  // notification: the dialing side has accepted the Hello of the other
	refuseMethod = "refuse" // notification: why the connection is closed
)

// Hello describes a process to its peer when a connection is established.
type Hello struct {
	Identity
	Zone        string `json:"zone"`
	Address     string `json:"address"`     // IP:port of its peer listener
	Incarnation string `json:"incarnation"` // distinguishes the starts of a process
}

// refusal is the parameter of refuseMethod: why the connection is closed.
type refusal struct {
	Code   result.Code `json:"code"`
	Detail string      `json:"detail"`
}

// Conn is a connection to a peer. Once it is established, both sides may send calls
// and notifications.
type Conn struct {
	endpoint      *Endpoint
	raw           net.Conn
	bounded       *ingress.Conn // the accepted socket, if the endpoint has a port
	rpc           *jsonrpc2.Conn
	peerChain     []*x509.Certificate   // the peer's certificates; empty without TLS
	helloReceived atomic.Pointer[Hello] // accepting side: the Hello received, before readyMethod
	peer          atomic.Pointer[Hello] // set when the connection is established
	dialed        bool
	runningCalls  atomic.Int64 // calls of the peer that are running
	pendingCalls  atomic.Int64 // calls to the peer that wait for a response
}

// Peer returns the description of the process at the other end. It may be called
// only once the connection is established.
func (c *Conn) Peer() Hello { return *c.peer.Load() }

// Dialed reports whether this side opened the connection.
func (c *Conn) Dialed() bool { return c.dialed }

// Busy reports whether a call is in progress in either direction.
func (c *Conn) Busy() bool { return c.runningCalls.Load() > 0 || c.pendingCalls.Load() > 0 }

// Done returns a channel that is closed when the connection is.
func (c *Conn) Done() <-chan struct{} { return c.rpc.DisconnectNotify() }

// Close closes the connection.
func (c *Conn) Close() { _ = c.rpc.Close() }

// Notify sends a message that has no response.
func (c *Conn) Notify(method string, params any) error {
	return asPeerUnavailable(c.rpc.Notify(context.Background(), method, params))
}

// Call sends a message and stores the response in reply. An error from the peer
// keeps its result code; without a response the error is result.PeerUnavailable.
func (c *Conn) Call(ctx context.Context, method string, params, reply any) error {
	c.pendingCalls.Add(1)
	defer c.pendingCalls.Add(-1)
	err := c.rpc.Call(ctx, method, params, reply)
	var rpcErr *jsonrpc2.Error
	if errors.As(err, &rpcErr) {
		return result.Errorf(result.Code(rpcErr.Code), "%s", rpcErr.Message)
	}
	return asPeerUnavailable(err)
}

// asPeerUnavailable returns err as result.PeerUnavailable, and nil for nil.
func asPeerUnavailable(err error) error {
	return result.Wrap(result.PeerUnavailable, err, "connection failed")
}

// Handle implements jsonrpc2.Handler. It runs on the goroutine that reads the
// connection, so that notifications are handled in the order in which they were
// sent.
func (c *Conn) Handle(ctx context.Context, _ *jsonrpc2.Conn, req *jsonrpc2.Request) {
	var params json.RawMessage
	if req.Params != nil {
		params = *req.Params
	}
	switch {
	case req.Method == refuseMethod:
		c.handleRefusal(params)
	case req.Method == helloMethod && !c.dialed && c.helloReceived.Load() == nil:
		c.handleHello(ctx, req.ID, params)
	case req.Method == readyMethod && c.helloReceived.Load() != nil && c.peer.Load() == nil:
		c.establish(*c.helloReceived.Load())
	case c.peer.Load() == nil:
		c.refuse(result.Errorf(result.PeerRefused, "method %s called before the hello", req.Method))
	case req.Notif:
		c.endpoint.cfg.Handler.Notified(c, req.Method, params)
	default:
		c.serveCall(ctx, req.ID, req.Method, params)
	}
}

// serveCall runs a call of the peer on a goroutine of its own.
func (c *Conn) serveCall(ctx context.Context, id jsonrpc2.ID, method string, params json.RawMessage) {
	if c.runningCalls.Add(1) > maxConcurrentCalls {
		c.runningCalls.Add(-1)
		c.respond(ctx, id, nil, result.Errorf(result.PeerBusy, "%d calls are running on the connection, the maximum", maxConcurrentCalls))
		return
	}
	end, err := c.bounded.BeginCall(params)
	if err != nil {
		c.runningCalls.Add(-1)
		c.respond(ctx, id, nil, result.Wrap(result.PeerBusy, err, "call"))
		return
	}
	go func() {
		defer c.runningCalls.Add(-1)
		defer end()
		reply, err := c.endpoint.cfg.Handler.Called(ctx, c, method, params)
		c.respond(ctx, id, reply, err)
	}()
}

// respond sends the response to a call: reply, or err with its result code. Where
// reply cannot be encoded, it sends that error instead. A failure of the connection
// is ignored here, as the reading side detects it.
func (c *Conn) respond(ctx context.Context, id jsonrpc2.ID, reply any, err error) {
	if err == nil {
		err = c.rpc.Reply(ctx, id, reply)
		if err == nil || errors.Is(err, jsonrpc2.ErrClosed) {
			return
		}
	}
	_ = c.rpc.ReplyWithError(ctx, id, &jsonrpc2.Error{Code: int64(result.Of(err)), Message: errorDetail(err)})
}

// errorDetail returns the text of err, without the code where that is sent beside it.
func errorDetail(err error) string {
	var e *result.Error
	if errors.As(err, &e) && e.Cause == nil && e.Detail != "" {
		return e.Detail
	}
	return err.Error()
}
