package settings

import (
	"errors"
	"fmt"
	"strings"

	"skylarkport/internal/result"
)

// Fault is one fault of a settings file.
type Fault struct {
	Code result.Code
	File string
	Path string // JSON path of the field; empty for the whole file
	Want string // what was expected
}

// Error implements error.
func (f *Fault) Error() string {
	at := f.File
	if f.Path != "" {
		at += ": " + f.Path
	}
	return fmt.Sprintf("%d %s: %s: expected %s", f.Code, f.Code, at, f.Want)
}

// As lets result.Of read the code.
func (f *Fault) As(target any) bool {
	t, ok := target.(**result.Error)
	if !ok {
		return false
	}
	*t = &result.Error{Code: f.Code, Detail: f.Error()}
	return true
}

// Faults returns the faults that err joins.
func Faults(err error) []*Fault {
	var one *Fault
	if list, ok := err.(interface{ Unwrap() []error }); ok {
		var out []*Fault
		for _, e := range list.Unwrap() {
			out = append(out, Faults(e)...)
		}
		return out
	}
	if errors.As(err, &one) {
		return []*Fault{one}
	}
	return nil
}

// checker collects the faults of one file.
type checker struct {
	file   string
	faults []*Fault
}

// add records a fault unless one is known for the field or the object around it.
func (c *checker) add(code result.Code, path, format string, args ...any) {
	for _, f := range c.faults {
		if f.Path != "" && (path == f.Path || strings.HasPrefix(path, f.Path+".") || strings.HasPrefix(path, f.Path+"[")) {
			return
		}
	}
	c.faults = append(c.faults, &Fault{Code: code, File: c.file, Path: path, Want: fmt.Sprintf(format, args...)})
}

func (c *checker) err() error {
	errs := make([]error, len(c.faults))
	for i, f := range c.faults {
		errs[i] = f
	}
	return errors.Join(errs...)
}
