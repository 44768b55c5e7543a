package obs

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// Patterns for the calls in the code that name a metric, a part of a metric's
// name or a logger's prefix, and for the metrics that the page names. anyMetric
// also matches calls whose metric name is not a string literal.
var (
	anyMetric  = regexp.MustCompile(`\.(?:Counter|Gauge|Timer|Histogram)\(|obs\.NewLatencies\(`)
	metricCall = regexp.MustCompile(`\.(?:Counter|Gauge|Timer|Histogram)\("(\w+)"|obs\.NewLatencies\([^,]+, "(\w+)"`)
	scopeCall  = regexp.MustCompile(`\.SubScope\("(\w+)"\)`)
	loggerCall = regexp.MustCompile(`\bLogger\("(\w+)"\)`)
	pageMetric = regexp.MustCompile("`skylark_(?:entry|scheduler|node)_(\\w+)`")
)

// sources returns the code of all packages without tests, and without latency.go
// of this package, which takes its metrics' names as arguments.
func sources(t *testing.T) string {
	t.Helper()
	var b strings.Builder
	for _, pattern := range []string{"../*/*.go", "../*/*/*.go"} {
		files, _ := filepath.Glob(pattern)
		for _, f := range files {
			if strings.HasSuffix(f, "_test.go") || f == "../obs/latency.go" {
				continue
			}
			text, err := os.ReadFile(f)
			if err != nil {
				t.Fatal(err)
			}
			b.Write(text)
		}
	}
	return b.String()
}

// TestPage fails where docs/OPERATIONS.md lacks a metric or a log prefix of the
// code, or names a metric that the code does not have.
func TestPage(t *testing.T) {
	body, err := os.ReadFile("../../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	page, code := string(body), sources(t)
	calls := metricCall.FindAllStringSubmatch(code, -1)
	if all := len(anyMetric.FindAllString(code, -1)); all != len(calls) || all == 0 {
		t.Errorf("%d calls create metrics, %d of them with a literal name", all, len(calls))
	}
	scopes := []string{""}
	for _, m := range scopeCall.FindAllStringSubmatch(code, -1) {
		scopes = append(scopes, m[1]+"_")
		if !strings.Contains(page, "_"+m[1]+"_") {
			t.Errorf("the page lacks the metrics of the scope %s", m[1])
		}
	}
	created := map[string]bool{}
	for _, c := range calls {
		for _, s := range scopes {
			created[s+c[1]+c[2]] = true
		}
		if !strings.Contains(page, "_"+c[1]+c[2]+"`") {
			t.Errorf("the page lacks the metric %s", c[1]+c[2])
		}
	}
	for _, m := range pageMetric.FindAllStringSubmatch(page, -1) {
		if !created[m[1]] {
			t.Errorf("the page names the metric %s, which no code creates", m[1])
		}
	}
	for _, m := range loggerCall.FindAllStringSubmatch(code, -1) {
		if !strings.Contains(page, "| `"+m[1]+": ` |") {
			t.Errorf("the page lacks the log prefix %s", m[1])
		}
	}
}
