// Package contract defines the typed interfaces to everything outside the
// system: the platform's tables, objects and list of instances, the workers and
// the upstreams. Errors state whether the failed call may have taken effect.
package contract

import (
	"fmt"

	"github.com/cockroachdb/errors"

	"skylarkport/internal/result"
)

// Outcome is what is known about the effect of a call that returned an error.
type Outcome uint8

// The outcomes of a failed call.
const (
	// Refused means that the call had no effect.
	Refused Outcome = iota
	// Unknown means that the call may have taken effect.
	Unknown
)

// String returns the outcome's name.
func (o Outcome) String() string {
	if o == Refused {
		return "refused"
	}
	return "unknown"
}

// CallError is the error type that every interface of this package returns.
type CallError struct {
	Outcome Outcome
	Code    result.Code
	Detail  string
	// Row is the key of the row whose condition failed, for
	// result.PlatformConflict.
	Row Key
	// NeverLate says of a call with the outcome Unknown that it has taken effect already if it ever does: its
	// receiver has not acknowledged all of it, and will not get the rest.
	NeverLate bool
}

// Error implements error.
func (e *CallError) Error() string {
	return fmt.Sprintf("%d %s (%s): %s", e.Code, e.Code, e.Outcome, e.Detail)
}

// As implements the method that errors.As calls. It converts e to a *result.Error, so
// that result.Of returns the code.
func (e *CallError) As(target any) bool {
	t, ok := target.(**result.Error)
	if !ok {
		return false
	}
	*t = &result.Error{Code: e.Code, Detail: e.Detail}
	return true
}

// OutcomeOf returns the outcome of the CallError in err's chain, or Unknown if there
// is none.
func OutcomeOf(err error) Outcome {
	var e *CallError
	if errors.As(err, &e) {
		return e.Outcome
	}
	return Unknown
}

// MayBeLate reports whether a call that failed with err may still take effect.
func MayBeLate(err error) bool {
	var e *CallError
	return !errors.As(err, &e) || e.Outcome == Unknown && !e.NeverLate
}

// IsMalformed reports whether err means that the call was rejected for what it contains. The same call
// is rejected each time.
func IsMalformed(err error) bool {
	return OutcomeOf(err) == Refused && result.Of(err) == result.PlatformBadCall
}

// IsConflict reports whether err means that a write's condition did not hold.
func IsConflict(err error) bool { return result.Of(err) == result.PlatformConflict }

// IsNotFound reports whether err means that the row or object does not exist.
func IsNotFound(err error) bool { return result.Of(err) == result.PlatformNotFound }
