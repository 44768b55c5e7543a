package entrybench

import (
	"fmt"
	"io"
)

// report prints figures and verdicts.
type report struct {
	w      io.Writer
	missed int
}

// section begins a part.
func (r *report) section(name string) { fmt.Fprintf(r.w, "\n%s\n", name) }

// figure prints a figure without a bound.
func (r *report) figure(name string, format string, args ...any) {
	fmt.Fprintf(r.w, "  %-46s %s\n", name, fmt.Sprintf(format, args...))
}

// bound prints a figure and whether it is within its bound.
func (r *report) bound(name string, met bool, format string, args ...any) {
	verdict := "met"
	if !met {
		verdict = "MISSED"
		r.missed++
	}
	fmt.Fprintf(r.w, "  %-46s %s: %s\n", name, fmt.Sprintf(format, args...), verdict)
}
