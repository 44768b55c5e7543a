package forward

import (
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"skylarkport/internal/result"
)

// readBody reads the whole body within its bound and the deadline.
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
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return nil, result.Errorf(result.RequestTooLarge, "body over %d bytes", limit)
	}
	return nil, result.Wrap(result.RequestBad, err, "body")
}

// readAll reads r into one piece where its length is known.
func readAll(r io.Reader, length int64) ([]byte, error) {
	if length < 0 {
		return io.ReadAll(r)
	}
	b := make([]byte, length)
	_, err := io.ReadFull(r, b)
	return b, err
}
