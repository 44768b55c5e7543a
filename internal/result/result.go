// Package result defines the numbered result codes that callers, operators and logs
// see. A number never changes its meaning. docs/RESULTS.md lists the codes.
package result

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
)

// Code is the number of a result. Zero is not a code.
type Code int

// Info describes a code.
type Info struct {
	Code   Code
	Name   string // stable identifier
	Status int    // HTTP status
	// NotRun is true when the code alone proves that the work was not run. Where
	// it is false, the response may still contain a proof of its own.
	NotRun  bool
	Meaning string // one sentence, for the page of results
}

// Error is an error with a result code.
type Error struct {
	Code   Code
	Detail string
	Cause  error
	// RetryAfter is when the caller should try again, 0 if unknown.
	RetryAfter time.Duration
}

// Error implements error.
func (e *Error) Error() string {
	s := fmt.Sprintf("%d %s", e.Code, e.Code.Info().Name)
	if e.Detail != "" {
		s += ": " + e.Detail
	}
	if e.Cause != nil {
		s += ": " + e.Cause.Error()
	}
	return s
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// Errorf returns an error with code c and a formatted detail.
func Errorf(c Code, format string, args ...any) error {
	return &Error{Code: c, Detail: fmt.Sprintf(format, args...)}
}

// Wrap returns an error with code c, a detail and the cause err, or nil when err is
// nil.
func Wrap(c Code, err error, detail string) error {
	if err == nil {
		return nil
	}
	return &Error{Code: c, Detail: detail, Cause: err}
}

// Of returns the code of err: the outermost one in its chain, OK for a nil error and
// Internal for an error without a code.
func Of(err error) Code {
	if err == nil {
		return OK
	}
	var e *Error
	if errors.As(err, &e) {
		return e.Code
	}
	return Internal
}

// RetryAfter returns when the caller should try again after err, 0 if unknown.
func RetryAfter(err error) time.Duration {
	var e *Error
	if errors.As(err, &e) {
		return e.RetryAfter
	}
	return 0
}

// Info returns the description of c, or that of Internal when c is unknown.
func (c Code) Info() Info {
	if i, ok := byCode[c]; ok {
		return i
	}
	return byCode[Internal]
}

// String returns the code's name.
func (c Code) String() string { return c.Info().Name }

// All returns the descriptions of all codes in ascending order.
func All() []Info { return table }

var byCode = indexByCode()

// indexByCode returns the descriptions by code.
func indexByCode() map[Code]Info {
	m := make(map[Code]Info, len(table))
	for _, i := range table {
		m[i.Code] = i
	}
	return m
}
