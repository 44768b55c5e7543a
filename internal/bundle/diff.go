package bundle

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
)

// ChangeKind says whether a change adds, removes or modifies an entry or field.
type ChangeKind string

// The kinds of changes between two bundles.
const (
	Added   ChangeKind = "added"
	Removed ChangeKind = "removed"
	Changed ChangeKind = "changed"
)

// Change is one difference between two bundles.
type Change struct {
	Kind ChangeKind `json:"kind"`
	Path string     `json:"path"`          // such as "services[stock].timeout"
	Old  string     `json:"old,omitempty"` // JSON
	New  string     `json:"new,omitempty"` // JSON
}

// String returns the change on one line.
func (c Change) String() string {
	switch c.Kind {
	case Added:
		return fmt.Sprintf("+ %s %s", c.Path, c.New)
	case Removed:
		return fmt.Sprintf("- %s %s", c.Path, c.Old)
	default:
		return fmt.Sprintf("~ %s %s -> %s", c.Path, c.Old, c.New)
	}
}

// Diff returns the changes from a to b in the order of the schema. It does not
// compare version, base, author and note.
func Diff(a, b *Bundle) []Change {
	var out []Change
	out = append(out, diffNamed("tenants", a.Organisations, b.Organisations, func(org Organisation) string { return org.Name })...)
	out = append(out, diffNamed("services", a.Services, b.Services, func(s Service) string { return s.Name })...)
	out = append(out, diffFields("placement", a.Placement, b.Placement)...)
	out = append(out, diffNamed("reviewers", a.Reviewers, b.Reviewers, func(k ReviewerKey) string { return k.Name })...)
	if a.RequiredSignOffs != b.RequiredSignOffs {
		out = append(out, Change{Changed, "sign_offs", jsonText(a.RequiredSignOffs), jsonText(b.RequiredSignOffs)})
	}
	return out
}

// diffNamed compares two lists whose entries are identified by name.
func diffNamed[T any](list string, a, b []T, name func(T) string) []Change {
	var out []Change
	old := map[string]T{}
	for _, x := range a {
		old[name(x)] = x
	}
	present := map[string]bool{}
	for _, y := range b {
		path := fmt.Sprintf("%s[%s]", list, name(y))
		present[name(y)] = true
		if x, ok := old[name(y)]; ok {
			out = append(out, diffFields(path, x, y)...)
			continue
		}
		out = append(out, Change{Kind: Added, Path: path, New: jsonText(y)})
	}
	for _, x := range a {
		if !present[name(x)] {
			out = append(out, Change{Kind: Removed, Path: fmt.Sprintf("%s[%s]", list, name(x)), Old: jsonText(x)})
		}
	}
	return out
}

// diffFields compares two structs of the same type field by field.
func diffFields(path string, a, b any) []Change {
	var out []Change
	va, vb := reflect.ValueOf(a), reflect.ValueOf(b)
	for i := range va.NumField() {
		x, y := jsonText(va.Field(i).Interface()), jsonText(vb.Field(i).Interface())
		if x == y {
			continue
		}
		tag, _, _ := strings.Cut(va.Type().Field(i).Tag.Get("json"), ",")
		out = append(out, Change{Changed, path + "." + tag, x, y})
	}
	return out
}

// jsonText returns v as JSON, and [] for a nil slice, so that a nil and an empty
// list compare equal.
func jsonText(v any) string {
	data, err := json.Marshal(v)
	if err != nil {
		return err.Error()
	}
	if string(data) == "null" {
		return "[]"
	}
	return string(data)
}
