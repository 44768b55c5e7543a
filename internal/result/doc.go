package result

import (
	"fmt"
	"strings"
)

// CodeRanges returns the ranges of codes in ascending order.
func CodeRanges() []CodeRange {
	return []CodeRange{
		{1000, "General"},
		{1100, "Settings"},
		{1200, "Platform"},
		{1300, "Requests"},
		{1400, "Jobs"},
		{1500, "Bundles"},
		{1600, "Membership and security"},
		{1700, "Journal and leases"},
		{1800, "Workers"},
	}
}

// CodeRange is a range of codes with the title of its section on the page.
type CodeRange struct {
	First Code
	Title string
}

// rangeSize is the maximum number of codes in a range.
const rangeSize = 100

// Markdown returns the content of docs/RESULTS.md.
func Markdown() string {
	var b strings.Builder
	b.WriteString(`# Results

Every response, refusal and logged error contains one of these codes. A number
never changes its meaning. *Not run* means that the code alone proves that the work
was not run; where it is "no", the response may still contain a proof of its own.

This page is generated from the code: ` + "`go test ./internal/result -update`" + `.
`)
	for _, r := range CodeRanges() {
		fmt.Fprintf(&b, "\n## %s\n\n| code | name | HTTP | not run | meaning |\n|---|---|---|---|---|\n", r.Title)
		for _, i := range table {
			if i.Code >= r.First && i.Code < r.First+rangeSize {
				fmt.Fprintf(&b, "| %d | `%s` | %d | %s | %s |\n", i.Code, i.Name, i.Status, yesOrNo(i.NotRun), i.Meaning)
			}
		}
	}
	return b.String()
}

func yesOrNo(v bool) string {
	if v {
		return "yes"
	}
	return "no"
}
