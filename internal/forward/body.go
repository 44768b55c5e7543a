package forward

import (
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"skylarkport/internal/result"
)

// readBody reads the whole request body. It fails if the body is larger than limit
// or has not arrived by the deadline of the call.
func readBody(w http.ResponseWriter, r *http.Request, c *call, limit int64) ([]byte, error) {
	if r.ContentLength == 0 {
		return nil, nil
	}
	rc := http.NewResponseController(w)
	_ = rc.SetReadDeadline(c.deadline)
	b, err := readAll(http.MaxBytesReader(w, r.Body, limit), r.ContentLength)
	if err == nil {
		_ = rc.SetReadDeadline(time.Time{})
		return b, nil
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, result.Errorf(result.RequestTooLarge, "request body is larger than %d bytes", limit)
	}
	return nil, result.Wrap(result.RequestBad, err, "read request body")
}

// readAll reads r. If its length is known, it allocates the buffer once and reads
// exactly that many bytes; a negative length means unknown.
func readAll(r io.Reader, length int64) ([]byte, error) {
	if length < 0 {
		return io.ReadAll(r)
	}
	b := make([]byte, length)
	_, err := io.ReadFull(r, b)
	return b, err
}
