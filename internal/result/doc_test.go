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

// TestPage fails where docs/RESULTS.md and the code differ.
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

// TestTable checks that every constant is in the table once, in order, in a part
// and with a usable description.
func TestTable(t *testing.T) {
	name := regexp.MustCompile(`^[a-z]+(-[a-z]+)*$`)
	names := map[string]bool{}
	listed := map[Code]bool{}
	last := Code(0)
	for _, i := range All() {
		if i.Code <= last {
			t.Errorf("%d follows %d", i.Code, last)
		}
		last = i.Code
		listed[i.Code] = true
		if !name.MatchString(i.Name) || names[i.Name] {
			t.Errorf("%d has the name %q", i.Code, i.Name)
		}
		names[i.Name] = true
		const callerGone = 499 // of no registry, but usual
		if http.StatusText(i.Status) == "" && i.Status != callerGone {
			t.Errorf("%d has the status %d", i.Code, i.Status)
		}
		if !strings.HasSuffix(i.Meaning, ".") || i.Meaning == "." {
			t.Errorf("%d has the meaning %q", i.Code, i.Meaning)
		}
		if !strings.Contains(Markdown(), "| "+strconv.Itoa(int(i.Code))+" |") {
			t.Errorf("%d is in no part", i.Code)
		}
	}
	for ident, code := range constants(t) {
		if !listed[code] {
			t.Errorf("%s = %d is not in the table", ident, code)
		}
	}
}

// constants returns the Code constants of codes.go.
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
		t.Errorf("%d constants for %d entries", len(out), len(All()))
	}
	return out
}
