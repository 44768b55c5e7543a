package link

import (
	"io"
	"net"

	"github.com/sourcegraph/jsonrpc2"

	"skylarkport/internal/result"
)

// MaxMessageBytes bounds one message between peers.
const MaxMessageBytes = 16 << 20

// boundedStream is a jsonrpc2 stream whose messages are bounded.
type boundedStream struct {
	jsonrpc2.ObjectStream
	reader *boundedReader
}

func newStream(c net.Conn) jsonrpc2.ObjectStream {
	r := &boundedReader{Conn: c}
	return &boundedStream{
		ObjectStream: jsonrpc2.NewBufferedStream(r, jsonrpc2.VarintObjectCodec{}),
		reader:       r,
	}
}

// ReadObject implements jsonrpc2.ObjectStream.
func (s *boundedStream) ReadObject(v any) error {
	s.reader.left = MaxMessageBytes
	return s.ObjectStream.ReadObject(v)
}

// boundedReader reads at most left bytes. Only the stream's reader uses left.
type boundedReader struct {
	net.Conn
	left int
}

// Read implements io.Reader.
func (r *boundedReader) Read(b []byte) (int, error) {
	if r.left <= 0 {
		return 0, result.Errorf(result.PeerRefused, "a message of more than %d bytes", MaxMessageBytes)
	}
	if len(b) > r.left {
		b = b[:r.left]
	}
	n, err := r.Conn.Read(b)
	r.left -= n
	return n, err
}

var _ io.ReadWriteCloser = (*boundedReader)(nil)
