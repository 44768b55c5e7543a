package capacity

import (
	"fmt"
	"strings"
)

// table is a generated part of the page.
type table struct {
	name   string // of its markers
	render func(r *Results) string
}

var tables = []table{
	{"slopes", renderSlopes},
	{"roles", renderRoles},
}

// renderSlopes lists every series with its points and line.
func renderSlopes(r *Results) string {
	var b strings.Builder
	fmt.Fprintf(&b, "Measured on %s.\n\n", r.Machine)
	b.WriteString("| series | points (x: y) | line | residual | command |\n|---|---|---|---|---|\n")
	for i := range r.Series {
		s := &r.Series[i]
		fmt.Fprintf(&b, "| [%s](capacity/%s.svg): %s, by %s | %s | %s | %s | `%s` |\n", s.Title, s.Name,
			s.YLabel, s.XLabel, points(s.Points), line(s.Fit), number(s.Fit.Residual), s.Command)
	}
	return b.String()
}

func points(ps []Point) string {
	parts := make([]string, len(ps))
	for i, p := range ps {
		parts[i] = number(p.X) + ": " + number(p.Y)
	}
	return strings.Join(parts, ", ")
}

func line(f Fit) string { return fmt.Sprintf("%s + %s x", number(f.Intercept), number(f.Slope)) }

// number prints three significant digits, and whole numbers in full.
func number(v float64) string {
	if v == float64(int64(v)) {
		return fmt.Sprintf("%d", int64(v))
	}
	return fmt.Sprintf("%.3g", v)
}

// renderRoles lists what every role needs at the target size.
func renderRoles(r *Results) string {
	var b strings.Builder
	b.WriteString("| role | quantity | worked out | at the target | bound | fits | mechanism |\n|---|---|---|---|---|---|---|\n")
	for _, e := range estimates {
		row(&b, &e, r)
	}
	return b.String()
}

func row(b *strings.Builder, e *estimate, r *Results) {
	v, how, ok := e.value(r)
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
	fmt.Fprintf(b, "| %s | %s | %s | %s %s | %s | %s | %s |\n", e.role, e.quantity, how, number(v), e.unit, e.boundText(), fits, e.mechanism)
}
