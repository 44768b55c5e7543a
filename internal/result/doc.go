package result

import (
	"fmt"
	"strings"
)

// Parts returns the ranges of codes: the first code of each and its title.
func Parts() []Part {
	return []Part{
		{1000, "General"},
		{1100, "Settings"},
		{1200, "Platform"},
		{1300, "Requests"},
		{1400, "Operators' work"},
		{1500, "Bundles"},
		{1600, "Membership and security"},
		{1700, "Journal and leases"},
		{1800, "Workers"},
	}
}

// Part is a range of codes.
type Part struct {
	First Code
	Title string
}

// partSize is the number of codes in a part.
const partSize = 100

// Markdown returns the page docs/RESULTS.md.
func Markdown() string {
	var b strings.Builder
	b.WriteString(`# Results

Every answer, refusal and log entry names one of these codes. A number never
changes its meaning. *Not run* says that the code by itself proves that the work
was not run; where it is "no" the answer may still carry a proof of its own.

This page is written from the code: ` + "`go test ./internal/result -update`" + `.
`)
	for _, p := range Parts() {
		fmt.Fprintf(&b, "\n## %s\n\n| code | name | HTTP | not run | meaning |\n|---|---|---|---|---|\n", p.Title)
		for _, i := range table {
			if i.Code >= p.First && i.Code < p.First+partSize {
				fmt.Fprintf(&b, "| %d | `%s` | %d | %s | %s |\n", i.Code, i.Name, i.Status, yesNo(i.NotRun), i.Meaning)
			}
		}
	}
	return b.String()
}

func yesNo(v bool) string {
	if v {
		return "yes"
	}
	return "no"
}
