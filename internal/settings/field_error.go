package settings

import (
	"errors"
	"fmt"
	"strings"

	"skylarkport/internal/result"
)

// FieldError is one error in a settings file.
type FieldError struct {
	Code     result.Code
	File     string
	Path     string // JSON path of the field; empty for the whole file
	Expected string // what was expected
}

// Error implements error.
func (f *FieldError) Error() string {
	location := f.File
	if f.Path != "" {
		location += ": " + f.Path
	}
	return fmt.Sprintf("%d %s: %s: expected %s", f.Code, f.Code, location, f.Expected)
}

// As lets errors.As convert f to a *result.Error, from which result.Of reads the
// code.
func (f *FieldError) As(target any) bool {
	t, ok := target.(**result.Error)
	if !ok {
		return false
	}
	*t = &result.Error{Code: f.Code, Detail: f.Error()}
	return true
}

// FieldErrors returns every FieldError that err joins.
func FieldErrors(err error) []*FieldError {
	var fieldErr *FieldError
	if list, ok := err.(interface{ Unwrap() []error }); ok {
		var out []*FieldError
		for _, e := range list.Unwrap() {
			out = append(out, FieldErrors(e)...)
		}
		return out
	}
	if errors.As(err, &fieldErr) {
		return []*FieldError{fieldErr}
	}
	return nil
}

// checker collects the errors of one settings file.
type checker struct {
	file      string
	fieldErrs []*FieldError
}

// add records an error unless one is recorded for the field or for an object or
// list that contains it.
func (c *checker) add(code result.Code, path, format string, args ...any) {
	for _, f := range c.fieldErrs {
		if f.Path != "" && (path == f.Path || strings.HasPrefix(path, f.Path+".") || strings.HasPrefix(path, f.Path+"[")) {
			return
		}
	}
	c.fieldErrs = append(c.fieldErrs, &FieldError{Code: code, File: c.file, Path: path, Expected: fmt.Sprintf(format, args...)})
}

// err returns all recorded errors joined, or nil if there are none.
func (c *checker) err() error {
	errs := make([]error, len(c.fieldErrs))
	for i, f := range c.fieldErrs {
		errs[i] = f
	}
	return errors.Join(errs...)
}
