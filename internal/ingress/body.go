package ingress

import (
	"io"
	"net/http"
	"strconv"

	"skylarkport/internal/budget"
)

const (
	// readingBytes is what a byte of a body costs while it is read: a buffer that grows, and the one it has
	// outgrown.
	readingBytes = 3
	// decodingBytes is what a byte of a complete body costs in addition: its decoded form, the encoded one, and
	// the message that carries that to another process.
	decodingBytes = 3
)

// body is the body of a request. It takes what the request costs before it returns the bytes, and pins the
// connection at the end.
type body struct {
	io.ReadCloser
	conn   *Conn
	header http.Header // of the response
	bytes  int64
	// elements is what the lists and objects cost once they are decoded.
	elements int64
	began    bool
	err      error // after the end
}

// Read implements io.Reader. Errors have the code result.Overloaded, beside those of the connection.
func (b *body) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	if !b.began {
		b.began = true
		b.conn.receiveBody()
	}
	n, err := b.ReadCloser.Read(p)
	b.bytes += int64(n)
	if b.conn.port.cfg.JSONBodies {
		b.elements += elementCost(p[:n])
	}
	if refusal := b.conn.holder.Take(readingBytes * int64(n)); refusal != nil {
		return 0, b.refuse(refusal)
	}
	if err == io.EOF {
		if refusal := b.end(); refusal != nil {
			return 0, b.refuse(refusal)
		}
	}
	if b.conn.holder.Evicted() {
		b.err = budget.ErrEvicted
		return 0, b.err
	}
	b.err = err
	return n, err
}

// end takes what the complete body will cost, and pins the connection.
func (b *body) end() error {
	if err := b.conn.holder.Take(decodingBytes*b.bytes + b.elements); err != nil {
		return err
	}
	return b.conn.serve()
}

// served ends the handling of the request. If its body has not been read to the end, net/http discards the rest,
// which must arrive in time.
func (b *body) served() {
	if b.err == io.EOF {
		return
	}
	b.conn.enter(receivingBody, b.conn.port.cfg.Limits().HeaderTimeout)
	b.conn.holder.Unpin()
}

// refuse makes the response the last one of the connection, as the rest of the request is not read.
func (b *body) refuse(err error) error {
	b.header.Set("Connection", "close")
	b.header.Set("Retry-After", strconv.Itoa(retryAfterSeconds))
	b.conn.port.report.refused(b.conn.RemoteAddr(), reasonBody)
	b.err = err
	return err
}
