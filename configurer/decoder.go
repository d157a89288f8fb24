package configurer

import (
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"
)

// duration is encoded as a string such as "1.5s".
type duration time.Duration

// MarshalText implements encoding.TextMarshaler.
func (d duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// decoder decodes JSON into a document and records the position of each field.
type decoder struct {
	src    []byte
	values map[string]value // by field path
	faults []Fault
	// invalidJSON is set if the source is not valid JSON; values is then empty.
	invalidJSON bool
}

// decode decodes src into doc. Fields that the source does not set keep their
// values.
func decode[T any](src []byte, doc *T) *decoder {
	d := &decoder{src: src, values: make(map[string]value)}
	v, err := parse(src)
	var syntax *syntaxError
	if errors.As(err, &syntax) {
		line, column := position(src, syntax.offset)
		d.faults = append(d.faults, Fault{line: line, column: column, allowed: syntax.reason})
		d.invalidJSON = true
		return d
	}
	d.fill("", v, reflect.ValueOf(doc).Elem())
	return d
}

// maxExcerpt bounds the part of a value that a fault shows, in bytes.
const maxExcerpt = 60

// reject adds a fault for a field, unless the field or one of its parents already
// has one. A field that the source does not set is reported at the position of
// the nearest parent that it does set.
func (d *decoder) reject(field, allowed string) {
	if d.rejected(field) {
		return
	}
	v, ok := d.values[field]
	shown := "missing"
	if ok {
		shown = d.excerpt(v)
	}
	for parent := field; !ok; {
		parent = parentPath(parent)
		v, ok = d.values[parent]
	}
	d.addFault(v.start(), field, shown, allowed)
}

// rejected reports whether a field or one of its parents has a fault.
func (d *decoder) rejected(field string) bool {
	for {
		if slices.ContainsFunc(d.faults, func(f Fault) bool { return f.field == field }) {
			return true
		}
		if field == "" {
			return false
		}
		field = parentPath(field)
	}
}

// parentPath returns the path of the object or list that contains a field.
func parentPath(field string) string { return field[:max(strings.LastIndexAny(field, ".["), 0)] }

// excerpt returns the source text of a value, shortened to maxExcerpt.
func (d *decoder) excerpt(v value) string {
	text := string(d.src[v.start():v.end()])
	if len(text) > maxExcerpt {
		return strings.ToValidUTF8(text[:maxExcerpt], "") + "..."
	}
	return text
}

func (d *decoder) addFault(offset int, field, shown, allowed string) {
	line, column := position(d.src, offset)
	d.faults = append(d.faults, Fault{line: line, column: column, field: field, value: shown, allowed: allowed})
}

// has reports whether the source sets a field.
func (d *decoder) has(field string) bool {
	_, ok := d.values[field]
	return ok
}

func (d *decoder) fill(field string, v value, into reflect.Value) {
	d.values[field] = v
	switch v := v.(type) {
	case *object:
		d.fillObject(field, v, into)
	case *list:
		d.fillList(field, v, into)
	case *scalar:
		if !setScalar(v.token, into) {
			d.reject(field, describe(into))
		}
	}
}

func (d *decoder) fillObject(field string, o *object, into reflect.Value) {
	if into.Kind() != reflect.Struct {
		d.reject(field, describe(into))
		return
	}
	names, seen := fieldNames(into.Type()), make(map[string]bool)
	for _, m := range o.members {
		path := m.name
		if field != "" {
			path = field + "." + m.name
		}
		i := slices.Index(names, m.name)
		switch {
		case i < 0:
			d.addFault(m.offset, path, "an unknown field", strings.Join(names, ", "))
		case seen[m.name]:
			d.addFault(m.offset, path, "repeated", "one value")
		default:
			d.fill(path, m.value, into.Field(i))
		}
		seen[m.name] = true
	}
}

// fieldNames returns the JSON names of a document's fields in declaration order.
func fieldNames(t reflect.Type) []string {
	names := make([]string, t.NumField())
	for i := range names {
		names[i], _, _ = strings.Cut(t.Field(i).Tag.Get("json"), ",")
	}
	return names
}

func (d *decoder) fillList(field string, l *list, into reflect.Value) {
	if into.Kind() != reflect.Slice {
		d.reject(field, describe(into))
		return
	}
	into.Set(reflect.MakeSlice(into.Type(), len(l.items), len(l.items)))
	for i, item := range l.items {
		d.fill(fmt.Sprintf("%s[%d]", field, i), item, into.Index(i))
	}
}

// setScalar stores a token in a field and reports whether their types match.
func setScalar(token json.Token, into reflect.Value) bool {
	switch t := token.(type) {
	case string:
		return setString(t, into)
	case json.Number:
		if into.Kind() == reflect.Float64 {
			f, err := t.Float64()
			into.SetFloat(f)
			return err == nil
		}
		n, err := strconv.ParseInt(t.String(), 10, 64)
		if err != nil || into.Kind() != reflect.Int64 || into.Type() == reflect.TypeFor[duration]() {
			return false
		}
		into.SetInt(n)
		return true
	case bool:
		if into.Kind() != reflect.Bool {
			return false
		}
		into.SetBool(t)
		return true
	default:
		return false
	}
}

func setString(s string, into reflect.Value) bool {
	if into.Type() == reflect.TypeFor[duration]() {
		parsed, err := time.ParseDuration(s)
		if err == nil {
			into.SetInt(int64(parsed))
		}
		return err == nil
	}
	if into.Kind() != reflect.String {
		return false
	}
	into.SetString(s)
	return true
}

// describe describes the values that a field accepts.
func describe(into reflect.Value) string {
	switch {
	case into.Type() == reflect.TypeFor[duration]():
		return `a duration such as "1.5s"`
	case into.Kind() == reflect.Struct:
		return "an object with " + strings.Join(fieldNames(into.Type()), ", ")
	case into.Kind() == reflect.Slice:
		return "a list"
	case into.Kind() == reflect.Int64:
		return "a whole number"
	case into.Kind() == reflect.Float64:
		return "a number"
	case into.Kind() == reflect.Bool:
		return "true or false"
	default:
		return "a string"
	}
}
