package link

import (
	"io"
	"net"

	"github.com/sourcegraph/jsonrpc2"

	"skylarkport/internal/ingress"
	"skylarkport/internal/result"
)

// MaxMessageBytes is the maximum size of a message between peers.
const MaxMessageBytes = 16 << 20

// boundedStream is a jsonrpc2 stream that limits the bytes read for each message.
type boundedStream struct {
	jsonrpc2.ObjectStream
	reader *boundedReader
}

// newStream returns a stream on c whose messages have their length as a prefix. On an accepted socket with a bound,
// they take what they cost from its budget.
func newStream(c net.Conn, accepted *ingress.Conn) jsonrpc2.ObjectStream {
	r := &boundedReader{Conn: c}
	s := &boundedStream{
		ObjectStream: jsonrpc2.NewBufferedStream(r, jsonrpc2.VarintObjectCodec{}),
		reader:       r,
	}
	if accepted == nil {
		return s
	}
	return accepted.Stream(s)
}

// ReadObject implements jsonrpc2.ObjectStream.
func (s *boundedStream) ReadObject(v any) error {
	s.reader.remaining = MaxMessageBytes
	return s.ObjectStream.ReadObject(v)
}

// boundedReader reads at most remaining bytes. Only the goroutine that reads the stream
// uses remaining.
type boundedReader struct {
	net.Conn
	remaining int
}

// Read implements io.Reader.
func (r *boundedReader) Read(b []byte) (int, error) {
	if r.remaining <= 0 {
		return 0, result.Errorf(result.PeerRefused, "message larger than %d bytes", MaxMessageBytes)
	}
	if len(b) > r.remaining {
		b = b[:r.remaining]
	}
	n, err := r.Conn.Read(b)
	r.remaining -= n
	return n, err
}

var _ io.ReadWriteCloser = (*boundedReader)(nil)
