package settings

import (
	"os"
	"reflect"
	"strings"
	"testing"

	"skylarkport/internal/job"
)

// TestPage checks that docs/CONFIG.md names every setting of the daemons.
func TestPage(t *testing.T) {
	page, err := os.ReadFile("../../docs/CONFIG.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, typ := range []reflect.Type{reflect.TypeFor[Entry](), reflect.TypeFor[Scheduler](), reflect.TypeFor[Node]()} {
		for _, path := range leafPaths(typ, "") {
			name := path[strings.LastIndex(path, ".")+1:]
			if !strings.Contains(string(page), "`"+path+"`") && !strings.Contains(string(page), "`."+name+"`") && !strings.Contains(string(page), `"`+name+`":`) {
				t.Errorf("docs/CONFIG.md does not name %s", path)
			}
		}
	}
}

// leafPaths returns the paths of the fields of a struct, descending into structs.
func leafPaths(t reflect.Type, prefix string) []string {
	var out []string
	for _, f := range reflect.VisibleFields(t) {
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		switch {
		case f.Anonymous:
		case f.Type.Kind() == reflect.Struct && f.Type != reflect.TypeFor[job.Duration]():
			out = append(out, leafPaths(f.Type, prefix+name+".")...)
		default:
			out = append(out, prefix+name)
		}
	}
	return out
}
