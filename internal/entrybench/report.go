package entrybench

import (
	"fmt"
	"io"
)

// report prints figures and verdicts and counts the bounds that were missed.
type report struct {
	w      io.Writer
	missed int
}

// section prints a heading.
func (r *report) section(name string) { fmt.Fprintf(r.w, "\n%s\n", name) }

// figure prints a figure that has no bound.
func (r *report) figure(name string, format string, args ...any) {
	fmt.Fprintf(r.w, "  %-46s %s\n", name, fmt.Sprintf(format, args...))
}

// bound prints a figure and whether it meets its bound.
func (r *report) bound(name string, met bool, format string, args ...any) {
	verdict := "met"
	if !met {
		verdict = "MISSED"
		r.missed++
	}
	fmt.Fprintf(r.w, "  %-46s %s: %s\n", name, fmt.Sprintf(format, args...), verdict)
}
