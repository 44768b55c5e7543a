package forward

import (
	"io"
	"net/http"
	"strconv"
	"sync"

	"github.com/cockroachdb/errors"

	"skylarkport/internal/result"
)

// copyBytes is the size of a piece of a streamed body.
const copyBytes = 16 << 10

var buffers = sync.Pool{New: func() any { return new([copyBytes]byte) }}

// errCaller marks an error of the caller's connection.
var errCaller = errors.New("the caller's connection failed")

var okResult = []string{strconv.Itoa(int(result.OK))}

// head writes the status and headers of an upstream's answer. The answer of
// another zone's entry keeps its own result.
func head(w http.ResponseWriter, c *call, resp *http.Response, hop bool) {
	h := w.Header()
	copyHeader(h, resp.Header, ownAnswer)
	h[HeaderResult] = okResult
	if v := resp.Header[HeaderResult]; hop && v != nil {
		h[HeaderResult] = v
	}
	if v := resp.Header[HeaderNotRun]; hop && v != nil {
		h[HeaderNotRun] = v
	}
	if resp.ContentLength >= 0 {
		h["Content-Length"] = []string{strconv.FormatInt(resp.ContentLength, 10)}
	}
	w.WriteHeader(resp.StatusCode)
}

// stream copies the body piece by piece. An error of the upstream is
// result.UpstreamBroken.
func stream(w http.ResponseWriter, c *call, resp *http.Response) error {
	buf := buffers.Get().(*[copyBytes]byte)
	defer buffers.Put(buf)
	flush := resp.ContentLength < 0
	total := int64(0)
	for {
		n, err := resp.Body.Read(buf[:])
		total += int64(n)
		if total > c.maxAnswer {
			return result.Errorf(result.UpstreamBroken, "answer over %d bytes", c.maxAnswer)
		}
		if werr := piece(w, buf[:n], flush); werr != nil {
			return werr
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return result.Wrap(result.UpstreamBroken, err, "body")
		}
	}
}

func piece(w http.ResponseWriter, b []byte, flush bool) error {
	if len(b) == 0 {
		return nil
	}
	if _, err := w.Write(b); err != nil {
		return errors.Mark(err, errCaller)
	}
	if f, ok := w.(http.Flusher); ok && flush {
		f.Flush()
	}
	return nil
}
