package obs

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// Calls that name a metric, a part of a metric's name, or a logger's prefix.
var (
	anyMetric  = regexp.MustCompile(`\.(?:Counter|Gauge|Timer|Histogram)\(|obs\.NewLatencies\(`)
	metricCall = regexp.MustCompile(`\.(?:Counter|Gauge|Timer|Histogram)\("(\w+)"|obs\.NewLatencies\([^,]+, "(\w+)"`)
	scopeCall  = regexp.MustCompile(`\.SubScope\("(\w+)"\)`)
	loggerCall = regexp.MustCompile(`\bLogger\("(\w+)"\)`)
	pageMetric = regexp.MustCompile("`skylark_(?:entry|scheduler|node)_(\\w+)`")
)

// sources returns the code of the programs without tests, and without this
// package's histograms, whose names are arguments.
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
		t.Errorf("%d calls make metrics, %d of them with a literal name", all, len(calls))
	}
	scopes := []string{""}
	for _, m := range scopeCall.FindAllStringSubmatch(code, -1) {
		scopes = append(scopes, m[1]+"_")
		if !strings.Contains(page, "_"+m[1]+"_") {
			t.Errorf("the page lacks the metrics of the scope %s", m[1])
		}
	}
	made := map[string]bool{}
	for _, c := range calls {
		for _, s := range scopes {
			made[s+c[1]+c[2]] = true
		}
		if !strings.Contains(page, "_"+c[1]+c[2]+"`") {
			t.Errorf("the page lacks the metric %s", c[1]+c[2])
		}
	}
	for _, m := range pageMetric.FindAllStringSubmatch(page, -1) {
		if !made[m[1]] {
			t.Errorf("the page names %s, which no code makes", m[1])
		}
	}
	for _, m := range loggerCall.FindAllStringSubmatch(code, -1) {
		if !strings.Contains(page, "| `"+m[1]+": ` |") {
			t.Errorf("the page lacks the log prefix %s", m[1])
		}
	}
}
