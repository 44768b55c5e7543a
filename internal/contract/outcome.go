// Package contract holds the typed interfaces to everything outside the
// system: the platform's tables, objects and instance list, the workers and
// the upstreams. The failure cases are part of the types.
package contract

import (
	"fmt"

	"github.com/cockroachdb/errors"

	"skylarkport/internal/result"
)

// Outcome says what is known about the effect of a call that returned an error.
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

// CallError is the error of every call in this package.
type CallError struct {
	Outcome Outcome
	Code    result.Code
	Detail  string
	// Row is the key of the row whose condition failed, for
	// result.PlatformConflict.
	Row Key
}

// Error implements error.
func (e *CallError) Error() string {
	return fmt.Sprintf("%d %s (%s): %s", e.Code, e.Code, e.Outcome, e.Detail)
}

// As lets result.Of read the code.
func (e *CallError) As(target any) bool {
	t, ok := target.(**result.Error)
	if !ok {
		return false
	}
	*t = &result.Error{Code: e.Code, Detail: e.Detail}
	return true
}

// OutcomeOf returns what err says about the call's effect. An error that is not
// a CallError is Unknown.
func OutcomeOf(err error) Outcome {
	var e *CallError
	if errors.As(err, &e) {
		return e.Outcome
	}
	return Unknown
}

// IsConflict reports whether a write's condition did not hold.
func IsConflict(err error) bool { return result.Of(err) == result.PlatformConflict }

// IsNotFound reports whether the row or object does not exist.
func IsNotFound(err error) bool { return result.Of(err) == result.PlatformNotFound }
