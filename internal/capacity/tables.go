package capacity

import (
	"fmt"
	"strings"
)

// pageTable is a generated table of the page.
type pageTable struct {
	name   string // name in its begin and end markers
	render func(r *Results) string
}

var pageTables = []pageTable{
	{"slopes", renderSlopes},
	{"roles", renderRoles},
}

// renderSlopes returns the table of every series with its points and fitted
// line.
func renderSlopes(r *Results) string {
	var b strings.Builder
	fmt.Fprintf(&b, "Measured on %s.\n\n", r.Machine)
	b.WriteString("| series | points (x: y) | line | residual | command |\n|---|---|---|---|---|\n")
	for i := range r.Series {
		s := &r.Series[i]
		fmt.Fprintf(&b, "| [%s](capacity/%s.svg): %s, by %s | %s | %s | %s | `%s` |\n", s.Title, s.Name,
			s.YLabel, s.XLabel, points(s.Points), equation(s.Fit), decimal(s.Fit.Residual), s.Command)
	}
	return b.String()
}

// points formats the points of a series.
func points(ps []Point) string {
	parts := make([]string, len(ps))
	for i, p := range ps {
		parts[i] = decimal(p.X) + ": " + decimal(p.Y)
	}
	return strings.Join(parts, ", ")
}

// equation formats the equation of a line.
func equation(f Fit) string { return fmt.Sprintf("%s + %s x", decimal(f.Intercept), decimal(f.Slope)) }

// decimal formats v with three significant digits, or in full if it is an
// integer.
func decimal(v float64) string {
	if v == float64(int64(v)) {
		return fmt.Sprintf("%d", int64(v))
	}
	return fmt.Sprintf("%.3g", v)
}

// renderRoles returns the table of what every role needs at the target size.
func renderRoles(r *Results) string {
	var b strings.Builder
	b.WriteString("| role | quantity | worked out | at the target | bound | fits | mechanism |\n|---|---|---|---|---|---|---|\n")
	for _, e := range estimates {
		writeRow(&b, &e, r)
	}
	return b.String()
}

// writeRow writes the table row of an estimate.
func writeRow(b *strings.Builder, e *estimate, r *Results) {
	v, derivation, ok := e.value(r)
	if !ok {
		fmt.Fprintf(b, "| %s | %s | not measured | | %s | | %s |\n", e.role, e.quantity, e.boundText(), e.mechanism)
		return
	}
	fits := "yes"
	switch {
	case e.bound == 0:
		fits = ""
	case v > e.bound:
		fits = "**no**"
	}
	fmt.Fprintf(b, "| %s | %s | %s | %s %s | %s | %s | %s |\n", e.role, e.quantity, derivation, decimal(v), e.unit, e.boundText(), fits, e.mechanism)
}
