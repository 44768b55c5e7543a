package ingress

import (
	"bytes"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"skylarkport/internal/budget"
	"skylarkport/internal/result"
)

const (
	// byteBytes and lineBytes are what a byte and a line of a header cost: net/http keeps the header's text, and
	// for each line an entry of a map, its name and a slice of its values.
	byteBytes = 4
	lineBytes = 200
	// bufferBytes is the size of the buffer from which net/http parses. It may hold the beginning of the next
	// request, or a trailer.
	bufferBytes = 4 << 10
)

// backgroundRead is the size of the buffer with which net/http waits, while a request is handled, for its client to
// leave. Such a read must not end in a refusal, as the handler responds.
const backgroundRead = 1

// errHeaderTooLarge means that a header exceeds the limit in force.
var errHeaderTooLarge = &result.Error{Code: result.RequestTooLarge, Detail: "header"}

// phase is what a connection does.
type phase int32

const (
	receivingHeader phase = iota
	waiting               // for the first byte of a request
	receivingBody
	serving // its request is complete
	receivingMessage
)

var phaseNames = [...]string{receivingHeader: "header", waiting: "idle", receivingBody: "body", serving: "response", receivingMessage: "message"}

// Conn is a connection that takes what it costs from the budget of its Port.
type Conn struct {
	net.Conn
	port   *Port
	holder *budget.Holder
	phase  atomic.Int32
	closed sync.Once

	mu             sync.Mutex
	own, requested time.Time // read deadlines: the port's and the user's; zero for none
	received       int       // bytes of a header
	headerCost     int64
	messageCost    int64 // of the message that is being read
	buffered       window
	charged        int64 // for the header and what may be buffered
}

// window adds up the costs of the last bufferBytes, or more, that were read.
type window struct{ bytes, cost, earlier int64 }

func (w *window) add(n, cost int64) {
	if w.bytes >= bufferBytes {
		w.bytes, w.cost, w.earlier = 0, 0, w.cost
	}
	w.bytes += n
	w.cost += cost
}

func (w *window) total() int64 { return w.cost + w.earlier }

// costOf returns what net/http makes of a part of a header.
func costOf(b []byte) int64 {
	return byteBytes*int64(len(b)) + lineBytes*int64(bytes.Count(b, []byte{'\n'}))
}

// Read implements net.Conn. It returns nothing that the budget has no room for.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n == 0 || len(b) == backgroundRead {
		return n, err
	}
	if refusal := c.account(b[:n]); refusal != nil {
		c.refuse(refusal)
		// net/http closes the connection on an error of this type, and answers any other one.
		return 0, &net.OpError{Op: "read", Net: "tcp", Addr: c.RemoteAddr(), Err: refusal}
	}
	return n, err
}

// account takes what b costs. The error is one of package budget, or errHeaderTooLarge.
func (c *Conn) account(b []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch phase(c.phase.Load()) {
	case serving:
		return nil
	case receivingMessage:
		return c.accountMessage(b)
	case waiting:
		c.phase.Store(int32(receivingHeader))
		c.holder.Restart()
		c.setOwnDeadlineLocked(c.port.cfg.Limits().HeaderTimeout)
		fallthrough
	case receivingHeader:
		c.received += len(b)
		if most := c.port.cfg.Limits().HeaderBytes; most > 0 && c.received > most+bufferBytes {
			return errHeaderTooLarge
		}
		cost := costOf(b)
		c.headerCost += cost
		c.buffered.add(int64(len(b)), cost)
		return c.charge(c.headerCost)
	}
	tail := b[max(0, len(b)-bufferBytes):]
	c.buffered.add(int64(len(tail)), costOf(tail))
	return c.charge(c.headerCost + c.buffered.total())
}

// charge raises what is charged for the header to cost. The caller holds the lock.
func (c *Conn) charge(cost int64) error {
	if cost <= c.charged {
		return nil
	}
	if err := c.holder.Take(cost - c.charged); err != nil {
		return err
	}
	c.charged = cost
	return nil
}

// refuse responds to a request whose header is not read to its end.
func (c *Conn) refuse(err error) {
	if phase(c.phase.Load()) != receivingHeader || c.holder.Evicted() {
		return
	}
	status, retry := http.StatusRequestHeaderFieldsTooLarge, ""
	if err == errHeaderTooLarge {
		c.port.report.refused(c.RemoteAddr(), reasonHeaderLimit)
	} else {
		status, retry = http.StatusServiceUnavailable, "Retry-After: "+strconv.Itoa(retryAfterSeconds)+"\r\n"
		c.port.report.refused(c.RemoteAddr(), reasonHeader)
	}
	_ = c.Conn.SetWriteDeadline(time.Now().Add(refusalTimeout))
	text := http.StatusText(status)
	_, _ = c.Conn.Write([]byte("HTTP/1.1 " + strconv.Itoa(status) + " " + text + "\r\n" + retry +
		"Content-Type: text/plain; charset=utf-8\r\nConnection: close\r\nContent-Length: " + strconv.Itoa(len(text)) + "\r\n\r\n" + text))
}

const (
	// retryAfterSeconds is when a client that was refused should come back. Those that hold the memory without
	// ending are evicted sooner.
	retryAfterSeconds = 1
	// refusalTimeout bounds the write of a refusal, which fits into the socket's buffer.
	refusalTimeout = 100 * time.Millisecond
)

// Write implements net.Conn. While a client does not read, its connection may be evicted; it is closed after
// Limits.WriteTimeout.
func (c *Conn) Write(b []byte) (int, error) {
	if d := c.port.cfg.Limits().WriteTimeout; d > 0 {
		_ = c.Conn.SetWriteDeadline(time.Now().Add(d))
	}
	if phase(c.phase.Load()) != serving {
		return c.Conn.Write(b)
	}
	c.holder.Unpin()
	n, err := c.Conn.Write(b)
	if c.holder.Pin() != nil && err == nil {
		err = net.ErrClosed
	}
	return n, err
}

// CloseWrite closes the writing side, so that the client gets a response before it learns that the rest of its
// request is not read.
func (c *Conn) CloseWrite() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}
	return nil
}

// Close implements net.Conn. It gives back what the connection holds.
func (c *Conn) Close() error {
	err := net.ErrClosed
	c.closed.Do(func() {
		err = c.Conn.Close()
		c.holder.Close()
		c.port.report.update()
	})
	return err
}

// evict ends the reads and writes of the connection. Its user then closes it.
func (c *Conn) evict() {
	c.port.report.evicted(c.RemoteAddr(), phaseNames[c.phase.Load()])
	_ = c.Conn.Close()
}

// SetReadDeadline implements net.Conn. The earlier one of t and the port's own deadline holds.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requested = t
	return c.applyDeadlineLocked()
}

// SetDeadline implements net.Conn.
func (c *Conn) SetDeadline(t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil {
		return err
	}
	return c.Conn.SetWriteDeadline(t)
}

// setOwnDeadline sets the port's read deadline to d from now, or to none if d is 0.
func (c *Conn) setOwnDeadline(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.setOwnDeadlineLocked(d)
}

func (c *Conn) setOwnDeadlineLocked(d time.Duration) {
	c.own = time.Time{}
	if d > 0 {
		c.own = time.Now().Add(d)
	}
	_ = c.applyDeadlineLocked()
}

func (c *Conn) applyDeadlineLocked() error {
	t := c.own
	if t.IsZero() || !c.requested.IsZero() && c.requested.Before(t) {
		t = c.requested
	}
	return c.Conn.SetReadDeadline(t)
}

// enter changes the phase, and the time in which the next bytes must arrive to d, or to none if d is 0.
func (c *Conn) enter(p phase, d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase.Store(int32(p))
	c.setOwnDeadlineLocked(d)
}

// serve begins the handling of a request. The error is budget.ErrEvicted.
func (c *Conn) serve() error {
	if err := c.holder.Pin(); err != nil {
		return err
	}
	c.enter(serving, 0)
	return nil
}

// receiveBody begins the wait for the rest of a request.
func (c *Conn) receiveBody() {
	c.enter(receivingBody, c.port.cfg.Limits().IdleTimeout)
	c.holder.Unpin()
}

// idle gives back what a request cost, except what the beginning of the next one may.
func (c *Conn) idle() {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.received, c.headerCost = 0, 0
	c.charged = min(c.charged, c.buffered.total())
	c.holder.Reset(c.charged)
	c.phase.Store(int32(waiting))
	c.setOwnDeadlineLocked(c.port.cfg.Limits().IdleTimeout)
}
