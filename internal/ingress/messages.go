package ingress

import (
	"bytes"
	"context"

	"github.com/sourcegraph/jsonrpc2"

	"skylarkport/internal/result"
)

const (
	// messageBytes is what a byte of a message costs: a buffer that grows, the message and its decoded form.
	messageBytes = 5
	// objectBytes and elementBytes are what an object and an element of a list cost in addition, once decoded.
	objectBytes  = 512
	elementBytes = 64
	// callBytes is what a call costs beside its message while it is handled.
	callBytes = 16 << 10
)

// messages is a stream of JSON messages that takes what each costs while it is read.
type messages struct {
	jsonrpc2.ObjectStream
	conn *Conn
}

// Stream returns s, which reads from c, with a bound on its messages: one that the budget has no room for ends the
// stream.
func (c *Conn) Stream(s jsonrpc2.ObjectStream) jsonrpc2.ObjectStream {
	c.enter(receivingMessage, 0)
	return &messages{ObjectStream: s, conn: c}
}

// ReadObject implements jsonrpc2.ObjectStream.
func (m *messages) ReadObject(v any) error {
	err := m.ObjectStream.ReadObject(v)
	m.conn.endMessage()
	return err
}

// messageCost returns what a part of a message costs.
func messageCost(b []byte) int64 {
	return messageBytes*int64(len(b)) + elementCost(b)
}

// elementCost returns what the objects and elements of lists in a part of a JSON text cost once they are decoded.
func elementCost(b []byte) int64 {
	return objectBytes*int64(bytes.Count(b, []byte{'{'})) +
		elementBytes*int64(bytes.Count(b, []byte{'['})+bytes.Count(b, []byte{','}))
}

// accountMessage takes what b, a part of a message, costs, beyond what fits into the buffers of every connection.
// The caller holds the lock.
func (c *Conn) accountMessage(b []byte) error {
	c.messageCost += messageCost(b)
	err := c.charge(c.messageCost - messageBytes*bufferBytes)
	if err != nil {
		c.port.report.refused(c.RemoteAddr(), reasonMessage)
	}
	return err
}

// endMessage gives back what the message cost that has been read.
func (c *Conn) endMessage() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.holder.Give(c.charged)
	c.messageCost, c.charged = 0, 0
	c.holder.Restart()
}

// BeginCall takes what a call with the given parameters costs while it is handled. The function returned gives it
// back. The error is budget.ErrExhausted or budget.ErrEvicted. A nil Conn has no bound.
func (c *Conn) BeginCall(params []byte) (end func(), err error) {
	if c == nil {
		return func() {}, nil
	}
	cost := callBytes + messageCost(params)
	if err := c.holder.Take(cost); err != nil {
		c.port.report.refused(c.RemoteAddr(), reasonMessage)
		return nil, err
	}
	return func() { c.holder.Give(cost) }, nil
}

// Calls returns a handler that runs next on a goroutine of its own for each request, as long as the budget has room
// for it. It rejects others with result.PeerBusy.
func (c *Conn) Calls(next jsonrpc2.Handler) jsonrpc2.Handler { return &calls{Handler: next, conn: c} }

type calls struct {
	jsonrpc2.Handler
	conn *Conn
}

// Handle implements jsonrpc2.Handler.
func (s *calls) Handle(ctx context.Context, rpc *jsonrpc2.Conn, r *jsonrpc2.Request) {
	var params []byte
	if r.Params != nil {
		params = *r.Params
	}
	end, err := s.conn.BeginCall(params)
	switch {
	case err == nil:
		go func() {
			defer end()
			s.Handler.Handle(ctx, rpc, r)
		}()
	case !r.Notif:
		// Nothing else is read meanwhile, so that rejections don't pile up.
		_ = rpc.ReplyWithError(ctx, r.ID, &jsonrpc2.Error{Code: int64(result.PeerBusy), Message: err.Error()})
	}
}
