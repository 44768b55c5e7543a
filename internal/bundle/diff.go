package bundle

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
)

// ChangeKind is the kind of a change between two bundles.
type ChangeKind string

// The kinds of changes.
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

// Diff returns the changes from a to b in the order of the schema. Version, base,
// author and note are left out.
func Diff(a, b *Bundle) []Change {
	var out []Change
	out = append(out, diffNamed("tenants", a.Tenants, b.Tenants, func(t Tenant) string { return t.Name })...)
	out = append(out, diffNamed("services", a.Services, b.Services, func(s Service) string { return s.Name })...)
	out = append(out, diffFields("placement", a.Placement, b.Placement)...)
	out = append(out, diffNamed("reviewers", a.Reviewers, b.Reviewers, func(k Key) string { return k.Name })...)
	if a.SignOffs != b.SignOffs {
		out = append(out, Change{Changed, "sign_offs", text(a.SignOffs), text(b.SignOffs)})
	}
	return out
}

// diffNamed compares two lists whose entries have a name.
func diffNamed[T any](list string, a, b []T, name func(T) string) []Change {
	var out []Change
	old := map[string]T{}
	for _, x := range a {
		old[name(x)] = x
	}
	kept := map[string]bool{}
	for _, y := range b {
		path := fmt.Sprintf("%s[%s]", list, name(y))
		kept[name(y)] = true
		if x, ok := old[name(y)]; ok {
			out = append(out, diffFields(path, x, y)...)
			continue
		}
		out = append(out, Change{Kind: Added, Path: path, New: text(y)})
	}
	for _, x := range a {
		if !kept[name(x)] {
			out = append(out, Change{Kind: Removed, Path: fmt.Sprintf("%s[%s]", list, name(x)), Old: text(x)})
		}
	}
	return out
}

// diffFields compares two structs field by field.
func diffFields(path string, a, b any) []Change {
	var out []Change
	va, vb := reflect.ValueOf(a), reflect.ValueOf(b)
	for i := range va.NumField() {
		x, y := text(va.Field(i).Interface()), text(vb.Field(i).Interface())
		if x == y {
			continue
		}
		tag, _, _ := strings.Cut(va.Type().Field(i).Tag.Get("json"), ",")
		out = append(out, Change{Changed, path + "." + tag, x, y})
	}
	return out
}

// text is v as JSON.
func text(v any) string {
	data, err := json.Marshal(v)
	if err != nil {
		return err.Error()
	}
	if string(data) == "null" {
		return "[]"
	}
	return string(data)
}
