package bundle

import (
	"os"
	"reflect"
	"strings"
	"testing"
)

// TestPage checks that docs/CONFIG.md names every field of the bundle.
func TestPage(t *testing.T) {
	page, err := os.ReadFile("../../docs/CONFIG.md")
	if err != nil {
		t.Fatal(err)
	}
	_, section, ok := strings.Cut(string(page), "\n## Bundle\n")
	if !ok {
		t.Fatal("docs/CONFIG.md has no section \"Bundle\"")
	}
	for _, typ := range []reflect.Type{
		reflect.TypeFor[Bundle](), reflect.TypeFor[Organisation](), reflect.TypeFor[Service](),
		reflect.TypeFor[Route](), reflect.TypeFor[Placement](), reflect.TypeFor[ReviewerKey](),
	} {
		for i := range typ.NumField() {
			name, _, _ := strings.Cut(typ.Field(i).Tag.Get("json"), ",")
			if !strings.Contains(section, "`"+name) && !strings.Contains(section, "[]."+name+"`") && !strings.Contains(section, "`"+name+"[]") {
				t.Errorf("docs/CONFIG.md does not name %s of %s", name, typ.Name())
			}
		}
	}
}
