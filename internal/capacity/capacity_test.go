package capacity

import (
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func TestLine(t *testing.T) {
	tests := []struct {
		name   string
		points []Point
		ok     bool
		want   Fit
	}{
		{"too few", []Point{{1, 1}, {2, 2}, {3, 3}}, false, Fit{}},
		{"exact", []Point{{1, 3}, {2, 5}, {3, 7}, {4, 9}}, true, Fit{Intercept: 1, Slope: 2}},
		{"scattered", []Point{{0, 1}, {1, -1}, {2, -1}, {3, 1}}, true, Fit{Residual: 1}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got, ok := FitLine(tt.points)
			if ok != tt.ok || differs(got.Intercept, tt.want.Intercept) || differs(got.Slope, tt.want.Slope) || differs(got.Residual, tt.want.Residual) {
				t.Errorf("Line = %+v, %v; want %+v, %v", got, ok, tt.want, tt.ok)
			}
		})
	}
}

// differs reports whether a and b differ by more than a rounding error.
func differs(a, b float64) bool { return math.Abs(a-b) > 1e-9 }

// TestEstimateOfAFallingSeries checks that a falling line is not extrapolated
// to a larger size, where it would give too low a value.
func TestEstimateOfAFallingSeries(t *testing.T) {
	s := Series{Name: "falling", Points: []Point{{1, 4}, {2, 3}, {3, 2}, {4, 1}}}
	s.Fit, _ = FitLine(s.Points)
	r := &Results{Series: []Series{s}}
	tests := []struct {
		name string
		term term
		want float64
	}{
		{"level", term{series: "falling", size: 100}, 4},
		{"scaled", term{series: "falling", size: 100, multiplier: 2}, 8},
		{"rise", term{series: "falling", size: 100, slopeOnly: true}, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			e := estimate{terms: []term{tt.term}}
			if got, how, ok := e.value(r); !ok || differs(got, tt.want) {
				t.Errorf("value = %v (%s), %v; want %v", got, how, ok, tt.want)
			}
		})
	}
}

func TestWriteRegeneratesTheTables(t *testing.T) {
	docs := t.TempDir()
	page := "a\n<!-- begin slopes -->\nold\n<!-- end slopes -->\nb\n<!-- begin roles -->\n<!-- end roles -->\nc\n"
	if err := os.WriteFile(filepath.Join(docs, pageFile), []byte(page), 0o600); err != nil {
		t.Fatal(err)
	}
	s := Series{Name: TakeoverSeconds, Title: "takeover", Points: []Point{{100, 9}, {200, 9}, {300, 9}, {400, 9}}}
	s.Fit, _ = FitLine(s.Points)
	if err := WriteResults(docs, &Results{Machine: "m", Series: []Series{s}}); err != nil {
		t.Fatal(err)
	}
	b, err := os.ReadFile(filepath.Join(docs, pageFile))
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"a\n<!-- begin slopes -->\n", "100: 9", "| **no** |", "not measured", "c\n"} {
		if !strings.Contains(string(b), want) {
			t.Errorf("page does not contain %q:\n%s", want, b)
		}
	}
	if strings.Contains(string(b), "old") {
		t.Error("the page still contains the old table")
	}
	back, err := ReadResults(docs)
	if err != nil || back.Find(TakeoverSeconds) == nil {
		t.Errorf("Read = %+v, %v", back, err)
	}
}
