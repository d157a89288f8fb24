package bundler

import (
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"io"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"unicode/utf8"
)

// Parse reads a bundle strictly and checks it. Its error is a *ParseError that
// lists every fault; only a syntax error hides the faults after it.
func Parse(data []byte) (*Document, error) {
	var doc Document
	w := &walker{data: data, lines: newLines(data)}
	w.run(&doc)
	if len(w.faults) == 0 {
		w.addChecked(&doc)
	}
	if len(w.faults) == 0 {
		return &doc, nil
	}
	slices.SortStableFunc(w.faults, func(a, b Fault) int {
		return cmp.Or(cmp.Compare(a.position.line, b.position.line), cmp.Compare(a.position.column, b.position.column))
	})
	return nil, &ParseError{faults: w.faults}
}

// addChecked adds the faults that the checks of a decoded document find, and
// gives them positions by a second walk over the text.
func (w *walker) addChecked(doc *Document) {
	found := check(doc)
	if len(found) == 0 {
		return
	}
	offsets := &walker{data: w.data, lines: w.lines, offsets: make(map[string]int)}
	offsets.run(&Document{})
	for _, f := range found {
		f.position = w.lines.locate(offsets.nearest(f.field))
		w.faults = append(w.faults, f)
	}
}

// walker decodes a document token by token, because encoding/json reports only
// the first fault and no position for most of them.
type walker struct {
	data    []byte
	lines   lines
	dec     *json.Decoder
	faults  []Fault
	offsets map[string]int // offsets of all values by field; nil on the first walk
}

// errSyntax ends a walk; the fault is already recorded.
var errSyntax = errors.New("syntax error")

func (w *walker) run(doc *Document) {
	if !utf8.Valid(w.data) {
		w.fail(invalidAt(w.data), "", "", "UTF-8 text")
		return
	}
	w.dec = json.NewDecoder(bytes.NewReader(w.data))
	w.dec.UseNumber()
	if err := w.value("", reflect.ValueOf(doc).Elem()); err != nil {
		return
	}
	start := w.start()
	if _, err := w.dec.Token(); !errors.Is(err, io.EOF) {
		w.fail(start, "", "", "a single JSON object without text after it")
	}
}

func invalidAt(data []byte) int {
	for i := 0; i < len(data); {
		r, size := utf8.DecodeRune(data[i:])
		if r == utf8.RuneError && size <= 1 {
			return i
		}
		i += size
	}
	return len(data)
}

func (w *walker) fail(offset int, field, value, allowed string) {
	w.faults = append(w.faults, Fault{position: w.lines.locate(offset), field: field, value: value, allowed: allowed})
}

// start returns where the next token begins.
func (w *walker) start() int {
	at := int(w.dec.InputOffset())
	for at < len(w.data) && strings.IndexByte(" \t\r\n,:", w.data[at]) >= 0 {
		at++
	}
	return at
}

func (w *walker) token(field string) (json.Token, int, error) {
	start := w.start()
	tok, err := w.dec.Token()
	if err == nil {
		return tok, start, nil
	}
	w.fail(w.faulty(start), field, "", "well-formed JSON: "+err.Error())
	return nil, 0, errSyntax
}

// faulty returns the offset of the faulty byte of the token at start. The token
// decoder's own offsets leave out the bytes between values.
func (w *walker) faulty(start int) int {
	var (
		raw    json.RawMessage
		syntax *json.SyntaxError
	)
	err := json.NewDecoder(bytes.NewReader(w.data[start:])).Decode(&raw)
	if errors.As(err, &syntax) {
		return start + int(syntax.Offset) - 1
	}
	return start
}

// value decodes the next value into v.
func (w *walker) value(field string, v reflect.Value) error {
	tok, start, err := w.token(field)
	if err != nil {
		return err
	}
	if w.offsets != nil {
		w.offsets[field] = start
	}
	switch v.Kind() {
	case reflect.Struct:
		if tok == json.Delim('{') {
			return w.object(field, start, v)
		}
	case reflect.Slice:
		if tok == json.Delim('[') {
			return w.array(field, v)
		}
	default:
		if scalar(tok, v) {
			return nil
		}
	}
	w.fail(start, field, w.text(tok, start), kindName(v.Kind()))
	return w.skip(tok)
}

func scalar(tok json.Token, v reflect.Value) bool {
	switch tok := tok.(type) {
	case string:
		if v.Kind() == reflect.String {
			v.SetString(tok)
			return true
		}
	case bool:
		if v.Kind() == reflect.Bool {
			v.SetBool(tok)
			return true
		}
	case json.Number:
		return number(tok, v)
	}
	return false
}

func number(n json.Number, v reflect.Value) bool {
	switch v.Kind() {
	case reflect.Int:
		i, err := strconv.ParseInt(n.String(), 10, 64)
		v.SetInt(i)
		return err == nil
	case reflect.Float64:
		f, err := n.Float64()
		v.SetFloat(f)
		return err == nil
	default:
		return false
	}
}

func kindName(k reflect.Kind) string {
	switch k {
	case reflect.Struct:
		return "an object"
	case reflect.Slice:
		return "an array"
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Int:
		return "an integer"
	default:
		return "a number"
	}
}

// text returns the value that starts with tok as written.
func (w *walker) text(tok json.Token, start int) string {
	switch tok := tok.(type) {
	case json.Delim:
		return tok.String()
	default:
		return string(w.data[start:w.dec.InputOffset()])
	}
}

// skip passes over the rest of a value that starts with tok.
func (w *walker) skip(tok json.Token) error {
	depth := 0
	for {
		switch tok {
		case json.Delim('{'), json.Delim('['):
			depth++
		case json.Delim('}'), json.Delim(']'):
			depth--
		}
		if depth == 0 {
			return nil
		}
		var err error
		if tok, _, err = w.token(""); err != nil {
			return err
		}
	}
}

func (w *walker) array(field string, v reflect.Value) error {
	v.Set(reflect.MakeSlice(v.Type(), 0, 0))
	for i := 0; w.dec.More(); i++ {
		element := reflect.New(v.Type().Elem()).Elem()
		if err := w.value(field+"["+strconv.Itoa(i)+"]", element); err != nil {
			return err
		}
		v.Set(reflect.Append(v, element))
	}
	_, _, err := w.token(field)
	return err
}

func (w *walker) object(field string, start int, v reflect.Value) error {
	fields := fieldsOf(v.Type())
	seen := make(map[string]bool, len(fields))
	for w.dec.More() {
		if err := w.member(field, v, fields, seen); err != nil {
			return err
		}
	}
	if _, _, err := w.token(field); err != nil {
		return err
	}
	for _, name := range names(fields) {
		if fields[name].required && !seen[name] {
			w.fail(start, join(field, name), "", "present")
		}
	}
	return nil
}

func (w *walker) member(field string, v reflect.Value, fields map[string]fieldInfo, seen map[string]bool) error {
	tok, start, err := w.token(field)
	if err != nil {
		return err
	}
	name, _ := tok.(string)
	path := join(field, name)
	info, known := fields[name]
	if !known {
		w.fail(start, path, strconv.Quote(name), "one of the fields "+strings.Join(names(fields), ", "))
	}
	if seen[name] {
		w.fail(start, path, strconv.Quote(name), "given once")
	}
	seen[name] = true
	if known {
		return w.value(path, v.Field(info.index))
	}
	tok, _, err = w.token(path)
	if err != nil {
		return err
	}
	return w.skip(tok)
}

func join(field, name string) string {
	if field == "" {
		return name
	}
	return field + "." + name
}

type fieldInfo struct {
	index    int
	required bool
}

func fieldsOf(t reflect.Type) map[string]fieldInfo {
	fields := make(map[string]fieldInfo, t.NumField())
	for i := range t.NumField() {
		name, rest, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		fields[name] = fieldInfo{index: i, required: rest == ""}
	}
	return fields
}

func names(fields map[string]fieldInfo) []string {
	all := make([]string, 0, len(fields))
	for name := range fields {
		all = append(all, name)
	}
	slices.Sort(all)
	return all
}

// nearest returns the offset of a field or, if it is absent, of the closest
// value that contains it.
func (w *walker) nearest(field string) int {
	for field != "" {
		if at, ok := w.offsets[field]; ok {
			return at
		}
		field = field[:max(0, strings.LastIndexAny(field, ".["))]
	}
	return w.offsets[""]
}
