package strict

import (
	"fmt"
	"slices"
	"testing"

	"skylarkport/internal/job"
)

type inner struct {
	N int `json:"n"`
}

type document struct {
	inner
	Name string       `json:"name"`
	List []inner      `json:"list"`
	Wait job.Duration `json:"wait,omitempty"`
	Key  []byte       `json:"key,omitempty"`
	Sub  *inner       `json:"sub,omitempty"`
}

func TestDecode(t *testing.T) {
	all := Options{RequireAll: true}
	tests := []struct {
		name, text string
		opt        Options
		want       []string // kind and path
	}{
		{"valid", `{"n": 1, "name": "x", "list": [{"n": 2}], "wait": "1s", "key": "AQ==", "sub": {"n": 3}}`, all, nil},
		{"optional fields absent", `{}`, Options{}, nil},
		{"missing", `{"n": 1, "list": [{}]}`, all, []string{"4 list[0].n", "4 name"}},
		{"null list", `{"list": null}`, Options{}, nil},
		{"null string", `{"name": null}`, Options{}, []string{"5 name"}},
		{"syntax", `{"name": }`, Options{}, []string{"0 "}},
		{"trailing", `{} x`, Options{}, []string{"1 "}},
		{"unknown", `{"list": [{"n": 1}, {"m": 1}]}`, Options{}, []string{"2 list[1].m"}},
		{"repeated", `{"n": 1, "n": 2}`, Options{}, []string{"3 n"}},
		{"types", `{"n": "1", "name": 1, "list": {}, "key": "?", "sub": []}`, Options{}, []string{"5 n", "5 name", "5 list", "5 key", "5 sub"}},
		{"units", `{"wait": 5}`, Options{}, []string{"6 wait"}},
		{"unit left out", `{"wait": "5"}`, Options{}, []string{"6 wait"}},
		{"duration of another type", `{"wait": true}`, Options{}, []string{"5 wait"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var v document
			var got []string
			for _, f := range Decode([]byte(tt.text), &v, tt.opt) {
				got = append(got, fmt.Sprintf("%d %s", f.Kind, f.Path))
				if f.Expected == "" {
					t.Errorf("%s: the error does not say what was expected", f.Path)
				}
			}
			if !slices.Equal(got, tt.want) {
				t.Errorf("errors %q, want %q", got, tt.want)
			}
		})
	}
}

func TestDecodeValues(t *testing.T) {
	var v document
	Decode([]byte(`{"n": 1, "name": "x", "list": [{"n": 2}], "wait": "1s", "key": "AQ==", "sub": {"n": 3}, "more": 1}`), &v, Options{})
	got := fmt.Sprintf("%d %s %v %v %v %v", v.N, v.Name, v.List, v.Wait.D(), v.Key, v.Sub.N)
	if want := "1 x [{2}] 1s [1] 3"; got != want {
		t.Errorf("Decode() stored %q, want %q", got, want)
	}
}
