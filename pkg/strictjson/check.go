package strictjson

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"
	"sort"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"
)

// checker checks a syntax tree against a Go type.
type checker struct {
	// newlines holds the offsets of all newline characters, in order.
	newlines []int
	// lines maps each field path in the input to its line number.
	lines    map[string]int
	problems []Problem
	// rejected holds the paths of values that have the wrong type.
	rejected map[string]bool
}

func newChecker(data []byte) *checker {
	c := &checker{lines: make(map[string]int), rejected: make(map[string]bool)}
	for offset, b := range data {
		if b == '\n' {
			c.newlines = append(c.newlines, offset)
		}
	}
	return c
}

// typeOf returns the type that out points to.
func typeOf(out any) reflect.Type {
	return reflect.TypeOf(out).Elem()
}

func (c *checker) lineAt(offset int) int {
	return sort.SearchInts(c.newlines, offset) + 1
}

// line returns the line number of a field, or that of the nearest enclosing field
// if the input doesn't contain it.
func (c *checker) line(field string) int {
	for {
		if n, ok := c.lines[field]; ok {
			return n
		}
		if field == "" {
			return 1
		}
		field = parentPath(field)
	}
}

// parentPath returns a field path without its last element.
func parentPath(field string) string {
	end := strings.LastIndexAny(field, ".[")
	if end < 0 {
		return ""
	}
	return field[:end]
}

// add records a problem of a value.
func (c *checker) add(v *hujson.Value, field, format string, args ...any) {
	c.problems = append(c.problems, Problem{Line: c.lineAt(v.StartOffset), Field: field, Message: fmt.Sprintf(format, args...)})
}

// reject records a problem of a value that has the wrong type and replaces the
// value with null, so that the other fields can be decoded and checked.
func (c *checker) reject(v *hujson.Value, field, format string, args ...any) {
	c.add(v, field, format, args...)
	c.rejected[field] = true
	v.Value = hujson.Literal("null")
}

// overlapsRejected reports whether a field, one of its parents or one of its
// children was rejected.
func (c *checker) overlapsRejected(field string) bool {
	for path := range c.rejected {
		if within(path, field) || within(field, path) {
			return true
		}
	}
	return false
}

// within reports whether field equals outer or is nested in it.
func within(field, outer string) bool {
	rest, ok := strings.CutPrefix(field, outer)
	return ok && (outer == "" || rest == "" || rest[0] == '.' || rest[0] == '[')
}

// checkValue checks a value and all values nested in it.
func (c *checker) checkValue(v *hujson.Value, t reflect.Type, field string) {
	if _, ok := c.lines[field]; !ok {
		c.lines[field] = c.lineAt(v.StartOffset)
	}
	if t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	switch t.Kind() {
	case reflect.Struct:
		c.checkObject(v, t, field)
	case reflect.Slice:
		c.checkArray(v, t, field)
	default:
		c.checkLiteral(v, t, field)
	}
}

func (c *checker) checkObject(v *hujson.Value, t reflect.Type, field string) {
	o, ok := v.Value.(*hujson.Object)
	if !ok {
		c.reject(v, field, "must be an object, not %s", kindName(v))
		return
	}
	fields := fieldsOf(t)
	seen := make(map[string]bool, len(o.Members))
	for i := range o.Members {
		c.checkMember(&o.Members[i], fields, seen, field)
	}
}

func (c *checker) checkMember(m *hujson.ObjectMember, fields map[string]reflect.Type, seen map[string]bool, parent string) {
	name := m.Name.Value.(hujson.Literal).String()
	path := joinPath(parent, name)
	if seen[name] {
		c.add(&m.Name, path, "the field is given twice")
		return
	}
	seen[name] = true
	t, ok := fields[name]
	if !ok {
		c.add(&m.Name, path, "unknown field%s", suggestField(name, fields))
		return
	}
	c.lines[path] = c.lineAt(m.Name.StartOffset)
	c.checkValue(&m.Value, t, path)
}

func (c *checker) checkArray(v *hujson.Value, t reflect.Type, field string) {
	if v.Value.Kind() == 'n' {
		return // encoding/json encodes a nil slice as null
	}
	a, ok := v.Value.(*hujson.Array)
	if !ok {
		c.reject(v, field, "must be an array, not %s", kindName(v))
		return
	}
	for i := range a.Elements {
		c.checkValue(&a.Elements[i], t.Elem(), field+"["+strconv.Itoa(i)+"]")
	}
}

// checkLiteral checks a string, number or boolean against its Go type.
func (c *checker) checkLiteral(v *hujson.Value, t reflect.Type, field string) {
	l, ok := v.Value.(hujson.Literal)
	if !ok || !kindMatches(l.Kind(), t) {
		c.reject(v, field, "must be %s, not %s", typeName(t, field), kindName(v))
		return
	}
	if err := json.Unmarshal(bytes.TrimSpace(l), reflect.New(t).Interface()); err != nil {
		c.reject(v, field, "must be %s, not %s", typeName(t, field), l)
	}
}

// fieldsOf returns the types of a struct's fields by JSON name.
func fieldsOf(t reflect.Type) map[string]reflect.Type {
	out := make(map[string]reflect.Type, t.NumField())
	for i := range t.NumField() {
		f := t.Field(i)
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		if name != "" && name != "-" {
			out[name] = f.Type
		}
	}
	return out
}

func joinPath(parent, name string) string {
	if parent == "" {
		return name
	}
	return parent + "." + name
}

// suggestField returns a hint with the known field that differs from name only in
// case or separators, or "" if there is none.
func suggestField(name string, fields map[string]reflect.Type) string {
	for known := range fields {
		if normalise(known) == normalise(name) {
			return "; did you mean " + known + "?"
		}
	}
	return ""
}

func normalise(name string) string {
	return strings.NewReplacer("_", "", "-", "", " ", "").Replace(strings.ToLower(name))
}

func kindMatches(k hujson.Kind, t reflect.Type) bool {
	switch t.Kind() {
	case reflect.String:
		return k == '"'
	case reflect.Bool:
		return k == 't' || k == 'f'
	}
	return k == '0'
}

// typeName describes the values that a field accepts. The suffix of the field name
// gives the unit.
func typeName(t reflect.Type, field string) string {
	if strings.HasSuffix(field, "_ms") {
		return "a whole number of milliseconds"
	}
	if strings.HasSuffix(field, "_bytes") {
		return "a whole number of bytes"
	}
	switch t.Kind() {
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Float32, reflect.Float64:
		return "a number"
	case reflect.Uint, reflect.Uint32, reflect.Uint64:
		return "a whole number from 0 on"
	}
	return "a whole number"
}

func kindName(v *hujson.Value) string {
	switch v.Value.Kind() {
	case '{':
		return "an object"
	case '[':
		return "an array"
	case '"':
		return "a string"
	case '0':
		return "a number"
	case 'n':
		return "null"
	}
	return "a boolean"
}
