package bundle

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"skylarkport/internal/job"
	"skylarkport/internal/resource"
	"skylarkport/internal/result"
)

func TestDiff(t *testing.T) {
	a := initialBundle()
	tests := []struct {
		name   string
		change func(b *Bundle)
		want   string
	}{
		{"nothing", func(*Bundle) {}, ""},
		{"author and note", func(b *Bundle) { b.Author, b.Note = "x", "y" }, ""},
		{"empty list", func(b *Bundle) { b.Services[0].NotIdempotent = []Route{} }, ""},
		{
			"tenant added", func(b *Bundle) { b.Organisations = append(b.Organisations, Organisation{Name: "n", Weight: 2}) },
			`+ tenants[n] {"name":"n","weight":2,"quota":{"milli_cpu":0,"memory_mb":0,"accelerators":0}}`,
		},
		{
			"tenant removed", func(b *Bundle) { b.Organisations = nil },
			`- tenants[teiki] {"name":"teiki","weight":10,"quota":{"milli_cpu":0,"memory_mb":0,"accelerators":0}}`,
		},
		{
			"quota", func(b *Bundle) { b.Organisations[0].Quota = resource.Vector{MilliCPU: 5} },
			`~ tenants[teiki].quota {"milli_cpu":0,"memory_mb":0,"accelerators":0} -> {"milli_cpu":5,"memory_mb":0,"accelerators":0}`,
		},
		{"timeout", func(b *Bundle) { b.Services[0].Timeout = job.Duration(2 * time.Second) }, `~ services[confirm].timeout "1s" -> "2s"`},
		{"weight", func(b *Bundle) { b.Placement.TailLatencyWeight = 2 }, `~ placement.tail_weight 0 -> 2`},
		{"sign-offs", func(b *Bundle) { b.RequiredSignOffs = 1 }, `~ sign_offs 2 -> 1`},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := initialBundle()
			tt.change(b)
			var got []string
			for _, c := range Diff(a, b) {
				got = append(got, c.String())
			}
			if strings.Join(got, "\n") != tt.want {
				t.Errorf("Diff() = %q, want %q", got, tt.want)
			}
		})
	}
}

// FuzzParse checks that every bundle that Parse accepts has one canonical form, and
// that every error has the code result.BundleBad.
func FuzzParse(f *testing.F) {
	body, err := Encode(successor(initialBundle(), "ops", "x"))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(body)
	for _, text := range []string{
		``, `{}`, `[]`, `null`, `{"author": "a"}`, `{"author": "a", "base": 18446744073709551615}`,
		`{"author": "a", "tenants": [{"name": "t", "weight": 1}]}`, `{"author": "a", "tenants": null}`,
		`{"author": "a", "services": [{"name": "s", "timeout": "1s", "class": "latency", "retry_ratio": 1e999}]}`,
		`{"author": "a", "services": [{"name": "s", "timeout": "1s", "class": "batch", "idempotent": [{"prefix": "/<&>"}]}]}`,
		`{"author": "a", "placement": {"window": "9999999h"}}`, `{"author": "a", "author": "b"}`, `{"author": "\ud800"}`,
		strings.Replace(string(body), `"sign_offs":2`, `"sign_offs":4`, 1),
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		b, err := Parse(data)
		if err != nil {
			if result.Of(err) != result.BundleBad {
				t.Fatalf("refused with %v", err)
			}
			return
		}
		body, err := Encode(b)
		if err != nil {
			t.Fatal(err)
		}
		again, err := decodeBody(body, HashOf(body))
		if err != nil {
			t.Fatalf("the canonical body is refused: %v", err)
		}
		back, err := Encode(again)
		if err != nil || string(back) != string(body) {
			t.Fatalf("not canonical: %s and %s, %v", body, back, err)
		}
		if d := Diff(b, again); len(d) > 0 {
			t.Fatalf("Diff() of the same = %v", d)
		}
		if !json.Valid(body) {
			t.Fatal("not JSON")
		}
	})
}
