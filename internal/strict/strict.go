// Package strict decodes JSON documents and reports every error with its path:
// unknown, repeated and missing fields, wrong types, durations without a unit, and
// data after the document.
package strict

import (
	"bytes"
	"encoding"
	"encoding/json"
	"fmt"
	"io"
	"reflect"
	"strings"

	"skylarkport/internal/job"
)

// Kind is the kind of an error in a document.
type Kind uint8

// The kinds of errors that Decode reports.
const (
	Syntax   Kind = iota // not JSON
	Trailing             // data after the document
	Unknown              // a field that the type does not have
	Repeated             // a field that is given twice
	Missing              // a required field that is absent
	Type                 // a value of the wrong type
	Unit                 // a duration without a unit or with an unknown one
)

// FieldError is one error in a document, at a field or of the whole document.
type FieldError struct {
	Kind     Kind
	Path     string // JSON path, such as "zones[1].name"; empty for the whole document
	Expected string // what was expected
}

// Options configure Decode.
type Options struct {
	// RequireAll makes every field required whose tag has neither omitempty
	// nor omitzero.
	RequireAll bool
}

// Decode stores the document in v, a pointer to a struct, and returns every error.
// Valid fields are stored even if others are invalid.
func Decode(data []byte, v any, opt Options) []FieldError {
	d := &decoder{opt: opt}
	raw, ok := d.readDocument(data)
	if ok {
		d.decodeValue("", raw, reflect.ValueOf(v).Elem())
	}
	return d.fieldErrs
}

// decoder collects the errors of one document.
type decoder struct {
	opt       Options
	fieldErrs []FieldError
}

func (d *decoder) addError(kind Kind, path, format string, args ...any) {
	d.fieldErrs = append(d.fieldErrs, FieldError{Kind: kind, Path: path, Expected: fmt.Sprintf(format, args...)})
}

// readDocument returns the first JSON value of data and whether there is one.
func (d *decoder) readDocument(data []byte) (json.RawMessage, bool) {
	dec := json.NewDecoder(bytes.NewReader(data))
	var raw json.RawMessage
	if err := dec.Decode(&raw); err != nil {
		d.addError(Syntax, "", "a JSON object (byte %d: %v)", dec.InputOffset(), err)
		return nil, false
	}
	end := dec.InputOffset()
	if _, err := dec.Token(); err != io.EOF {
		d.addError(Trailing, "", "nothing after the object's end at byte %d", end)
	}
	return raw, true
}

var (
	durationType = reflect.TypeFor[job.Duration]()
	textType     = reflect.TypeFor[encoding.TextUnmarshaler]()
)

// decodeValue decodes raw, the JSON value at path, into v according to v's type. It records
// errors in d and continues, so that one pass reports every faulty field.
func (d *decoder) decodeValue(path string, raw json.RawMessage, v reflect.Value) {
	switch {
	case string(raw) == "null" && v.Kind() == reflect.Slice:
		return // accepted as an empty list
	case string(raw) == "null":
		d.addError(Type, path, "%s, not null", typeName(v.Type()))
	case v.Type() == durationType:
		d.decodeDuration(path, raw, v)
	case v.Kind() == reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		d.decodeValue(path, raw, v.Elem())
	case reflect.PointerTo(v.Type()).Implements(textType):
		d.decodeLeaf(path, raw, v)
	case v.Kind() == reflect.Struct:
		d.decodeObject(path, raw, v)
	case v.Kind() == reflect.Slice && v.Type().Elem().Kind() != reflect.Uint8:
		d.decodeArray(path, raw, v)
	default:
		d.decodeLeaf(path, raw, v)
	}
}

func (d *decoder) decodeLeaf(path string, raw json.RawMessage, v reflect.Value) {
	if err := json.Unmarshal(raw, v.Addr().Interface()); err != nil {
		d.addError(Type, path, "%s, not %s", typeName(v.Type()), truncate(raw))
	}
}

func (d *decoder) decodeDuration(path string, raw json.RawMessage, v reflect.Value) {
	const want = `a duration with a unit such as "500ms" or "2s", not %s`
	if raw[0] != '"' {
		kind := Type
		if raw[0] == '-' || raw[0] >= '0' && raw[0] <= '9' {
			kind = Unit
		}
		d.addError(kind, path, want, truncate(raw))
		return
	}
	if err := json.Unmarshal(raw, v.Addr().Interface()); err != nil {
		d.addError(Unit, path, want, truncate(raw))
	}
}

func (d *decoder) decodeArray(path string, raw json.RawMessage, v reflect.Value) {
	var items []json.RawMessage
	if err := json.Unmarshal(raw, &items); err != nil {
		d.addError(Type, path, "a list, not %s", truncate(raw))
		return
	}
	v.Set(reflect.MakeSlice(v.Type(), len(items), len(items)))
	for i, item := range items {
		d.decodeValue(fmt.Sprintf("%s[%d]", path, i), item, v.Index(i))
	}
}

func (d *decoder) decodeObject(path string, raw json.RawMessage, v reflect.Value) {
	if raw[0] != '{' {
		d.addError(Type, path, "an object, not %s", truncate(raw))
		return
	}
	fields := fieldsOf(v.Type())
	seen := map[string]bool{}
	dec := json.NewDecoder(bytes.NewReader(raw))
	_, _ = dec.Token() // the opening brace; raw is valid JSON
	for dec.More() {
		key, _ := dec.Token()
		var item json.RawMessage
		_ = dec.Decode(&item)
		d.field(path, key.(string), item, v, fields, seen)
	}
	d.checkMissing(path, fields, seen)
}

// field decodes raw, the field name of the object at path, into the struct v. It records a
// repeated or an unknown field as an error.
func (d *decoder) field(path, name string, raw json.RawMessage, v reflect.Value, fields []field, seen map[string]bool) {
	fieldPath := Join(path, name)
	if seen[name] {
		d.addError(Repeated, fieldPath, "the field only once")
		return
	}
	seen[name] = true
	for _, f := range fields {
		if f.name == name {
			d.decodeValue(fieldPath, raw, v.FieldByIndex(f.index))
			return
		}
	}
	d.addError(Unknown, fieldPath, "one of %s", fieldNames(fields))
}

// checkMissing records an error for every required field of the object at path that is not
// in seen, if Options.RequireAll is set.
func (d *decoder) checkMissing(path string, fields []field, seen map[string]bool) {
	if !d.opt.RequireAll {
		return
	}
	for _, f := range fields {
		if !f.optional && !seen[f.name] {
			d.addError(Missing, Join(path, f.name), "%s", typeName(f.typ))
		}
	}
}

// Join returns the path of the field name of the object at path.
func Join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// field describes a JSON field of a struct type.
type field struct {
	name     string
	index    []int
	typ      reflect.Type
	optional bool
}

// fieldsOf returns the JSON fields of struct type t, including those of embedded
// structs.
func fieldsOf(t reflect.Type) []field {
	var out []field
	for _, f := range reflect.VisibleFields(t) {
		tag := f.Tag.Get("json")
		if f.Anonymous && tag == "" || !f.IsExported() || tag == "-" {
			continue
		}
		name, opts, _ := strings.Cut(tag, ",")
		if name == "" {
			name = f.Name
		}
		out = append(out, field{
			name:     name,
			index:    f.Index,
			typ:      f.Type,
			optional: strings.Contains(opts, "omit"),
		})
	}
	return out
}

func fieldNames(fields []field) string {
	out := make([]string, len(fields))
	for i, f := range fields {
		out[i] = f.name
	}
	return strings.Join(out, ", ")
}

// typeName describes a type for error texts.
func typeName(t reflect.Type) string {
	if t == durationType {
		return "a duration with a unit"
	}
	switch t.Kind() {
	case reflect.Pointer:
		return typeName(t.Elem())
	case reflect.Struct, reflect.Map:
		return "an object"
	case reflect.Slice:
		if t.Elem().Kind() == reflect.Uint8 {
			return "a base64 string"
		}
		return "a list"
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Float32, reflect.Float64:
		return "a number"
	default:
		return "a whole number"
	}
}

// maxValueBytes bounds how many bytes of an invalid value an error text quotes.
const maxValueBytes = 40

func truncate(raw json.RawMessage) string {
	if len(raw) <= maxValueBytes {
		return string(raw)
	}
	return string(raw[:maxValueBytes]) + "..."
}
