// Package ingress accepts connections within bounds of memory, descriptors and time. A Port has a budget of bytes:
// a connection takes of it what it makes the process hold, from its buffers to what decoding makes of a request,
// before the memory is allocated. What a connection has sent is counted where its bytes are read, as net/http parses
// a header before any handler runs.
package ingress

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"github.com/uber-go/tally/v4"

	"skylarkport/internal/budget"
)

// Limits bound a single connection. Zero means no bound.
type Limits struct {
	HeaderBytes   int           // of a request's header
	HeaderTimeout time.Duration // from the first byte of a header to its end
	// IdleTimeout is how long a connection may wait for a request, and a request's body for its end.
	IdleTimeout time.Duration
	// WriteTimeout is how long a write may wait for the client to read.
	WriteTimeout time.Duration
}

// Config holds the parameters of a Port.
type Config struct {
	Name   string // for logs and metrics
	Share  budget.Share
	Limits func() Limits // in force for new requests
	Scope  tally.Scope   // nil for no metrics
	// FixedBuffers gives the sockets buffers of receiveBytes and sendBytes, which count as held: bytes that have
	// been received and not read are in memory, too. Otherwise the system chooses and is trusted with them.
	FixedBuffers bool
	// JSONBodies is true if bodies are decoded as JSON into lists of any length. Their elements count then.
	JSONBodies bool
}

const (
	// receiveBytes is the size of a socket's receive buffer. It holds a segment of any size; with less, senders
	// on links with large segments wait for their timers.
	receiveBytes = 64 << 10
	sendBytes    = 16 << 10
)

// connBytes is what a connection costs beside its socket's buffers: two goroutines and the buffers of net/http.
const connBytes = 24 << 10

// Port bounds what the clients of one listening address make the process hold.
type Port struct {
	cfg    Config
	budget *budget.Budget
	report *report
}

// New returns a Port.
func New(cfg Config) *Port {
	b := budget.New(cfg.Share)
	if cfg.Scope == nil {
		cfg.Scope = tally.NoopScope
	}
	return &Port{cfg: cfg, budget: b, report: newReport(cfg.Name, cfg.Scope, b)}
}

// Listener returns a listener whose connections are bounded. A connection that finds no room is closed before
// anything is read from it.
func (p *Port) Listener(l net.Listener) net.Listener { return &listener{Listener: l, port: p} }

type listener struct {
	net.Listener
	port *Port
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c, err := l.port.open(raw)
		if err == nil {
			return c, nil
		}
		l.port.report.refused(raw.RemoteAddr(), reasonConnections)
		_ = raw.Close()
	}
}

// open returns the bounded connection for an accepted one. The error is budget.ErrExhausted.
func (p *Port) open(raw net.Conn) (*Conn, error) {
	c := &Conn{Conn: raw, port: p}
	base := int64(connBytes)
	if tcp, ok := raw.(*net.TCPConn); ok && p.cfg.FixedBuffers {
		base += receiveBytes + sendBytes
		_ = tcp.SetReadBuffer(receiveBytes)
		_ = tcp.SetWriteBuffer(sendBytes)
	}
	h, err := p.budget.Open(base, c.evict)
	if err != nil {
		return nil, err
	}
	c.holder = h
	c.setOwnDeadline(p.cfg.Limits().HeaderTimeout)
	p.report.update()
	return c, nil
}

// Server returns an HTTP server for the connections of Listener, which handler serves. The server itself sets no
// timeouts and no limit of a header: the connections keep to the limits in force.
func (p *Port) Server(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:        p.handler(handler),
		MaxHeaderBytes: int(min(p.cfg.Share.Bytes, 1<<30)),
		// Requests that share a connection cannot be told apart where its bytes are read.
		TLSNextProto: map[string]func(*http.Server, *tls.Conn, http.Handler){},
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, connOf(c))
		},
		ConnState: func(c net.Conn, s http.ConnState) {
			if s == http.StateIdle {
				connOf(c).idle()
			}
		},
	}
}

type connKey struct{}

// connOf returns the bounded connection that carries c, or nil if there is none.
func connOf(c net.Conn) *Conn {
	if t, ok := c.(*tls.Conn); ok {
		c = t.NetConn()
	}
	bounded, _ := c.(*Conn)
	return bounded
}

// handler returns next with the connection of each request pinned until its response is written, except while it
// waits for the body.
func (p *Port) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, _ := r.Context().Value(connKey{}).(*Conn)
		if c == nil {
			next.ServeHTTP(w, r)
			return
		}
		if c.serve() != nil {
			panic(http.ErrAbortHandler)
		}
		if r.Body == nil || r.Body == http.NoBody {
			next.ServeHTTP(w, r)
			return
		}
		b := &body{ReadCloser: r.Body, conn: c, header: w.Header()}
		defer b.served()
		bounded := *r // net/http looks at the body of its own request
		bounded.Body = b
		next.ServeHTTP(w, &bounded)
	})
}
