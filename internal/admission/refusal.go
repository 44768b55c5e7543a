package admission

import (
	"time"

	"skylarkport/internal/result"
)

// Refusal is the error for a request that was refused before it was sent to an
// upstream.
type Refusal struct {
	Code       result.Code
	RetryAfter time.Duration // time after which the caller may retry
}

// Error implements error.
func (r *Refusal) Error() string { return r.Code.String() }

// As implements the method used by errors.As, so that result.Of finds the code.
func (r *Refusal) As(target any) bool {
	t, ok := target.(**result.Error)
	if !ok {
		return false
	}
	*t = &result.Error{Code: r.Code}
	return true
}
