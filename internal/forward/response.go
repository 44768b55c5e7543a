package forward

import (
	"io"
	"net/http"
	"strconv"
	"sync"

	"github.com/cockroachdb/errors"

	"skylarkport/internal/result"
)

// streamBufferBytes is the size of the buffer through which bodies are streamed.
const streamBufferBytes = 16 << 10

var buffers = sync.Pool{New: func() any { return new([streamBufferBytes]byte) }}

// errCallerWrite marks an error that occurred while writing to the caller.
var errCallerWrite = errors.New("writing the response to the caller failed")

var okResultHeader = []string{strconv.Itoa(int(result.OK))}

// writeResponseHeader writes the status and headers of an upstream's response.
// The result is result.OK, unless the response comes from an entry of another zone:
// then the result headers that the other entry set are passed on.
func writeResponseHeader(w http.ResponseWriter, c *call, resp *http.Response, fromOtherZone bool) {
	h := w.Header()
	copyHeader(h, resp.Header, ownResponseHeaders)
	h[HeaderResult] = okResultHeader
	if v := resp.Header[HeaderResult]; fromOtherZone && v != nil {
		h[HeaderResult] = v
	}
	if v := resp.Header[HeaderNotRun]; fromOtherZone && v != nil {
		h[HeaderNotRun] = v
	}
	if resp.ContentLength >= 0 {
		h["Content-Length"] = []string{strconv.FormatInt(resp.ContentLength, 10)}
	}
	w.WriteHeader(resp.StatusCode)
}

// streamBody copies the response body to the caller. It flushes each chunk if the
// length of the body is unknown. An error while reading from the upstream, or a
// body above the service's limit, has the code result.UpstreamTruncated; an error
// while writing to the caller is marked with errCallerWrite.
func streamBody(w http.ResponseWriter, c *call, resp *http.Response) error {
	buf := buffers.Get().(*[streamBufferBytes]byte)
	defer buffers.Put(buf)
	flush := resp.ContentLength < 0
	total := int64(0)
	for {
		n, err := resp.Body.Read(buf[:])
		total += int64(n)
		if total > c.maxResponseBytes {
			return result.Errorf(result.UpstreamTruncated, "response body is larger than %d bytes", c.maxResponseBytes)
		}
		if werr := writeChunk(w, buf[:n], flush); werr != nil {
			return werr
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return result.Wrap(result.UpstreamTruncated, err, "read response body")
		}
	}
}

// writeChunk writes b to the caller and flushes it if flush is set.
func writeChunk(w http.ResponseWriter, b []byte, flush bool) error {
	if len(b) == 0 {
		return nil
	}
	if _, err := w.Write(b); err != nil {
		return errors.Mark(err, errCallerWrite)
	}
	if f, ok := w.(http.Flusher); ok && flush {
		f.Flush()
	}
	return nil
}
