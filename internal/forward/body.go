package forward

import (
	"bytes"
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
	if result.Of(err) == result.Overloaded {
		return nil, err
	}
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

// statedBytes is how much memory is allocated for a length that a caller has only stated.
const statedBytes = 16 << 10

// readAll reads r, whose length the caller has stated; a negative length means unknown. The
// buffer grows with what has arrived.
func readAll(r io.Reader, length int64) ([]byte, error) {
	var b bytes.Buffer
	b.Grow(int(min(max(length, 0), statedBytes)) + bytes.MinRead)
	if _, err := b.ReadFrom(r); err != nil {
		return nil, err
	}
	if length >= 0 && int64(b.Len()) < length {
		return nil, io.ErrUnexpectedEOF
	}
	return b.Bytes(), nil
}
