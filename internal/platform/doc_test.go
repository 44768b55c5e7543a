package platform

import (
	"os"
	"reflect"
	"strings"
	"testing"

	"skylarkport/internal/contract"
)

// TestDocNamesEveryField checks that docs/PLATFORM.md names every call and every field of
// its request and response.
func TestDocNamesEveryField(t *testing.T) {
	text, err := os.ReadFile("../../docs/PLATFORM.md")
	if err != nil {
		t.Fatal(err)
	}
	doc := string(text)
	for _, path := range []string{PathRead, PathScan, PathCommit, PathObjects, PathInstances, PathExchange} {
		if !strings.Contains(doc, path) {
			t.Errorf("docs/PLATFORM.md lacks the call %s", path)
		}
	}
	seen := map[reflect.Type]bool{}
	for _, v := range []any{
		ErrorResponse{},
		ReadRequest{},
		ScanRequest{},
		ScanReply{},
		CommitRequest{},
		CommitReply{},
		ListReply{},
		contract.Row{},
		contract.ExchangeRequest{},
		contract.ExchangeReply{},
	} {
		checkFields(t, doc, reflect.TypeOf(v), seen)
	}
}

func checkFields(t *testing.T, doc string, typ reflect.Type, seen map[reflect.Type]bool) {
	t.Helper()
	for typ.Kind() == reflect.Slice || typ.Kind() == reflect.Pointer {
		typ = typ.Elem()
	}
	if typ.Kind() != reflect.Struct || seen[typ] {
		return
	}
	seen[typ] = true
	for i := range typ.NumField() {
		f := typ.Field(i)
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		if !strings.Contains(doc, "`"+name+"`") && !strings.Contains(doc, `"`+name+`"`) {
			t.Errorf("docs/PLATFORM.md lacks %s.%s, written %s", typ, f.Name, name)
		}
		checkFields(t, doc, f.Type, seen)
	}
}
