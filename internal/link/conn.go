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

	"skylarkport/internal/result"
)

// Limits of a connection.
const (
	// writeTimeout bounds a write; a connection whose write takes longer is
	// closed.
	writeTimeout = 5 * time.Second
	// greetTimeout bounds the handshake and the hello.
	greetTimeout = 2 * time.Second
	// maxCalls bounds the calls of a peer that run at once on a connection.
	maxCalls = 1024
)

// Methods of the greeting.
const (
	helloMethod  = "hello"  // call: both sides introduce themselves
	readyMethod  = "ready"  // notification: the dialing side accepts the other
	refuseMethod = "refuse" // notification: why the connection is closed
)

// Hello is how a process introduces itself on a connection.
type Hello struct {
	Identity
	Zone        string `json:"zone"`
	Address     string `json:"address"` // IP:port of its peer listener
	Incarnation string `json:"incarnation"`
}

// refusal tells a peer why its connection is closed.
type refusal struct {
	Code   result.Code `json:"code"`
	Detail string      `json:"detail"`
}

// Conn is an established connection to a peer. Both sides may call and notify.
type Conn struct {
	endpoint *Endpoint
	raw      net.Conn
	rpc      *jsonrpc2.Conn
	chain    []*x509.Certificate   // empty in clear
	greeted  atomic.Pointer[Hello] // accepting side: said hello, not yet ready
	peer     atomic.Pointer[Hello] // set when the connection is open
	dialed   bool
	calls    atomic.Int64 // of the peer, running
	waiting  atomic.Int64 // own calls that wait for an answer
}

// Peer is the process at the other end.
func (c *Conn) Peer() Hello { return *c.peer.Load() }

// Dialed reports whether this side opened the connection.
func (c *Conn) Dialed() bool { return c.dialed }

// Busy reports whether a call runs in either direction.
func (c *Conn) Busy() bool { return c.calls.Load() > 0 || c.waiting.Load() > 0 }

// Done is closed when the connection is.
func (c *Conn) Done() <-chan struct{} { return c.rpc.DisconnectNotify() }

// Close closes the connection.
func (c *Conn) Close() { _ = c.rpc.Close() }

// Notify sends a message without an answer.
func (c *Conn) Notify(method string, params any) error {
	return away(c.rpc.Notify(context.Background(), method, params))
}

// Call sends a message and stores the answer in reply. The error is
// result.PeerAway where no answer came, else it has the code that the peer
// answered.
func (c *Conn) Call(ctx context.Context, method string, params, reply any) error {
	c.waiting.Add(1)
	defer c.waiting.Add(-1)
	err := c.rpc.Call(ctx, method, params, reply)
	var answered *jsonrpc2.Error
	if errors.As(err, &answered) {
		return result.Errorf(result.Code(answered.Code), "%s", answered.Message)
	}
	return away(err)
}

func away(err error) error { return result.Wrap(result.PeerAway, err, "the connection failed") }

// Handle implements jsonrpc2.Handler. It runs on the reading goroutine, so
// notifications are taken in the order of sending.
func (c *Conn) Handle(ctx context.Context, _ *jsonrpc2.Conn, req *jsonrpc2.Request) {
	var params json.RawMessage
	if req.Params != nil {
		params = *req.Params
	}
	switch {
	case req.Method == refuseMethod:
		c.refused(params)
	case req.Method == helloMethod && !c.dialed && c.greeted.Load() == nil:
		c.greet(ctx, req.ID, params)
	case req.Method == readyMethod && c.greeted.Load() != nil && c.peer.Load() == nil:
		c.open(*c.greeted.Load())
	case c.peer.Load() == nil:
		c.refuse(result.Errorf(result.PeerRefused, "%s before the hello", req.Method))
	case req.Notif:
		c.endpoint.cfg.Handler.Notified(c, req.Method, params)
	default:
		c.serve(ctx, req.ID, req.Method, params)
	}
}

func (c *Conn) serve(ctx context.Context, id jsonrpc2.ID, method string, params json.RawMessage) {
	if c.calls.Add(1) > maxCalls {
		c.calls.Add(-1)
		c.answer(ctx, id, nil, result.Errorf(result.PeerBusy, "%d calls are running", maxCalls))
		return
	}
	go func() {
		defer c.calls.Add(-1)
		reply, err := c.endpoint.cfg.Handler.Called(ctx, c, method, params)
		c.answer(ctx, id, reply, err)
	}()
}

// answer sends a reply or an error with its result code. A connection that
// fails meanwhile has told its reader.
func (c *Conn) answer(ctx context.Context, id jsonrpc2.ID, reply any, err error) {
	if err == nil {
		err = c.rpc.Reply(ctx, id, reply)
		if err == nil || errors.Is(err, jsonrpc2.ErrClosed) {
			return
		}
	}
	_ = c.rpc.ReplyWithError(ctx, id, &jsonrpc2.Error{Code: int64(result.Of(err)), Message: detailOf(err)})
}

// detailOf returns the text of err without the code that travels beside it.
func detailOf(err error) string {
	var e *result.Error
	if errors.As(err, &e) && e.Cause == nil && e.Detail != "" {
		return e.Detail
	}
	return err.Error()
}
