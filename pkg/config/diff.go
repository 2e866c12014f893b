package config

import (
	"cmp"
	"encoding/json"
	"reflect"
	"slices"
	"strings"
)

// ChangeKind is the type of a change to a field.
type ChangeKind string

// The kinds of changes.
const (
	Added   ChangeKind = "added"
	Removed ChangeKind = "removed"
	Changed ChangeKind = "changed"
)

// Change is one field that differs between two documents.
type Change struct {
	// Field is the field path, with list elements identified by name, such as
	// "services[beds].priority".
	Field string     `json:"field"`
	Kind  ChangeKind `json:"kind"`
	// From and To are the JSON encodings of the values, with key hashes truncated.
	From string `json:"from,omitempty"`
	To   string `json:"to,omitempty"`
}

// shownHashDigits is the number of digits of a key hash that a change shows.
const shownHashDigits = 8

// Diff returns the fields in which b differs from a, sorted by path. A nil
// document is treated as empty.
func Diff(a, b *Document) []Change {
	from, to := flatten(a), flatten(b)
	var out []Change
	for field, oldText := range from {
		newText, ok := to[field]
		switch {
		case !ok:
			out = append(out, Change{Field: field, Kind: Removed, From: oldText})
		case newText != oldText:
			out = append(out, Change{Field: field, Kind: Changed, From: oldText, To: newText})
		}
	}
	for field, newText := range to {
		if _, ok := from[field]; !ok {
			out = append(out, Change{Field: field, Kind: Added, To: newText})
		}
	}
	slices.SortFunc(out, func(x, y Change) int { return cmp.Compare(x.Field, y.Field) })
	return out
}

// flatten returns the JSON encoding of each leaf field, keyed by path.
func flatten(d *Document) map[string]string {
	out := make(map[string]string)
	if d != nil {
		flattenStruct(out, reflect.ValueOf(*d), "")
	}
	return out
}

func flattenStruct(out map[string]string, v reflect.Value, path string) {
	for i := range v.NumField() {
		name, options, _ := strings.Cut(v.Type().Field(i).Tag.Get("json"), ",")
		if name == "" || strings.Contains(options, "omitempty") && isEmpty(v.Field(i)) {
			continue
		}
		field := name
		if path != "" {
			field = path + "." + name
		}
		flattenValue(out, v.Field(i), field)
	}
}

func flattenValue(out map[string]string, v reflect.Value, path string) {
	if v.Kind() != reflect.Slice || v.Type().Elem().Kind() != reflect.Struct {
		out[path] = leafJSON(v, path)
		return
	}
	for i := range v.Len() {
		element := v.Index(i)
		flattenStruct(out, element, path+"["+elementLabel(element)+"]")
	}
}

// isEmpty reports whether a field tagged omitempty would be omitted.
func isEmpty(v reflect.Value) bool {
	return v.IsZero() || v.Kind() == reflect.Slice && v.Len() == 0
}

// elementLabel returns the field or fields that identify an element within its list.
func elementLabel(v reflect.Value) string {
	switch e := v.Interface().(type) {
	case Price:
		return e.DataCentre
	case Capacity:
		return e.Service
	case ModelPriority:
		return e.Model
	case Call:
		return e.Method + " " + e.PathPrefix
	}
	if name := v.FieldByName("Name"); name.IsValid() {
		return name.String()
	}
	return ""
}

// leafJSON returns the JSON encoding of a leaf value.
func leafJSON(v reflect.Value, path string) string {
	if v.Kind() == reflect.Slice && v.Len() == 0 {
		return "[]"
	}
	value := v.Interface()
	if hashes, ok := value.([]string); ok && strings.HasSuffix(path, ".key_sha256") {
		value = shortenHashes(hashes)
	}
	data, err := json.Marshal(value)
	if err != nil {
		return err.Error()
	}
	return string(data)
}

func shortenHashes(hashes []string) []string {
	out := make([]string, len(hashes))
	for i, h := range hashes {
		out[i] = h[:min(len(h), shownHashDigits)]
	}
	return out
}
