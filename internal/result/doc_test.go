package result

import (
	"flag"
	"go/ast"
	"go/parser"
	"go/token"
	"net/http"
	"os"
	"regexp"
	"strconv"
	"strings"
	"testing"
)

var update = flag.Bool("update", false, "write docs/RESULTS.md")

const page = "../../docs/RESULTS.md"

// TestPage checks that docs/RESULTS.md matches the code. With -update it writes the
// page first.
func TestPage(t *testing.T) {
	if *update {
		if err := os.WriteFile(page, []byte(Markdown()), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	got, err := os.ReadFile(page)
	if err != nil {
		t.Fatal(err)
	}
	if string(got) != Markdown() {
		t.Errorf("%s differs from the code; run go test ./internal/result -update", page)
	}
}

// TestTable checks that the table contains every constant once, in ascending order,
// with a unique name, a known HTTP status and a description, and that the page lists
// it.
func TestTable(t *testing.T) {
	name := regexp.MustCompile(`^[a-z]+(-[a-z]+)*$`)
	names := map[string]bool{}
	listed := map[Code]bool{}
	last := Code(0)
	for _, i := range All() {
		if i.Code <= last {
			t.Errorf("code %d follows %d, want ascending codes", i.Code, last)
		}
		last = i.Code
		listed[i.Code] = true
		if !name.MatchString(i.Name) || names[i.Name] {
			t.Errorf("code %d has the name %q, want a unique name in kebab case", i.Code, i.Name)
		}
		names[i.Name] = true
		const callerGone = 499 // not a registered status, but in common use
		if http.StatusText(i.Status) == "" && i.Status != callerGone {
			t.Errorf("code %d has the unknown HTTP status %d", i.Code, i.Status)
		}
		if !strings.HasSuffix(i.Meaning, ".") || i.Meaning == "." {
			t.Errorf("code %d has the meaning %q, want a sentence", i.Code, i.Meaning)
		}
		if !strings.Contains(Markdown(), "| "+strconv.Itoa(int(i.Code))+" |") {
			t.Errorf("code %d is in no range of the page", i.Code)
		}
	}
	for ident, code := range constants(t) {
		if !listed[code] {
			t.Errorf("%s = %d is not in the table", ident, code)
		}
	}
}

// constants returns the constants of type Code in codes.go by their names.
func constants(t *testing.T) map[string]Code {
	t.Helper()
	file, err := parser.ParseFile(token.NewFileSet(), "codes.go", nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	out := map[string]Code{}
	ast.Inspect(file, func(n ast.Node) bool {
		spec, ok := n.(*ast.ValueSpec)
		if !ok {
			return true
		}
		if typ, ok := spec.Type.(*ast.Ident); !ok || typ.Name != "Code" {
			return true
		}
		value, err := strconv.Atoi(spec.Values[0].(*ast.BasicLit).Value)
		if err != nil {
			t.Fatal(err)
		}
		out[spec.Names[0].Name] = Code(value)
		return true
	})
	if len(out) < len(All()) {
		t.Errorf("codes.go has %d constants, the table %d entries", len(out), len(All()))
	}
	return out
}
