package admission

import (
	"time"

	"skylarkport/internal/result"
)

// Refusal is the error of a request that was refused before it was sent.
type Refusal struct {
	Code       result.Code
	RetryAfter time.Duration // when to come back
}

// Error implements error.
func (r *Refusal) Error() string { return r.Code.String() }

// As lets result.Of read the code.
func (r *Refusal) As(target any) bool {
	t, ok := target.(**result.Error)
	if !ok {
		return false
	}
	*t = &result.Error{Code: r.Code}
	return true
}
