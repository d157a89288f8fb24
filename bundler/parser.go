package bundler

import (
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"io"
	"maps"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"unicode/utf8"
)

// Parse decodes a bundle strictly and checks it. Its error is a *ParseError
// that lists all faults, except that parsing stops at a syntax error.
func Parse(data []byte) (*Document, error) {
	var doc Document
	d := &decoder{data: data, lines: newLines(data)}
	d.run(&doc)
	if len(d.faults) == 0 {
		d.addCheckFaults(&doc)
	}
	if len(d.faults) == 0 {
		return &doc, nil
	}
	slices.SortStableFunc(d.faults, func(a, b Fault) int {
		return cmp.Or(cmp.Compare(a.position.line, b.position.line), cmp.Compare(a.position.column, b.position.column))
	})
	return nil, &ParseError{faults: d.faults}
}

// addCheckFaults checks the decoded document and adds the faults found. It
// decodes the text a second time to find their positions.
func (d *decoder) addCheckFaults(doc *Document) {
	found := check(doc)
	if len(found) == 0 {
		return
	}
	offsets := &decoder{data: d.data, lines: d.lines, offsets: make(map[string]int)}
	offsets.run(&Document{})
	for _, f := range found {
		f.position = d.lines.locate(offsets.nearestOffset(f.field))
		d.faults = append(d.faults, f)
	}
}

// decoder decodes a document token by token, because encoding/json reports only
// the first error, and most of them without a position.
type decoder struct {
	data    []byte
	lines   lines
	dec     *json.Decoder
	faults  []Fault
	offsets map[string]int // offsets of all values by field; nil in the first pass
}

// errSyntax stops decoding. The fault has already been recorded.
var errSyntax = errors.New("syntax error")

func (d *decoder) run(doc *Document) {
	if !utf8.Valid(d.data) {
		d.addFault(firstInvalidUTF8(d.data), "", "", "UTF-8 text")
		return
	}
	d.dec = json.NewDecoder(bytes.NewReader(d.data))
	d.dec.UseNumber()
	if err := d.value("", reflect.ValueOf(doc).Elem()); err != nil {
		return
	}
	start := d.nextOffset()
	if _, err := d.dec.Token(); !errors.Is(err, io.EOF) {
		d.addFault(start, "", "", "a single JSON object without text after it")
	}
}

func firstInvalidUTF8(data []byte) int {
	for i := 0; i < len(data); {
		r, size := utf8.DecodeRune(data[i:])
		if r == utf8.RuneError && size <= 1 {
			return i
		}
		i += size
	}
	return len(data)
}

func (d *decoder) addFault(offset int, field, value, allowed string) {
	d.faults = append(d.faults, Fault{position: d.lines.locate(offset), field: field, value: value, allowed: allowed})
}

// nextOffset returns the offset of the next token.
func (d *decoder) nextOffset() int {
	at := int(d.dec.InputOffset())
	for at < len(d.data) && strings.IndexByte(" \t\r\n,:", d.data[at]) >= 0 {
		at++
	}
	return at
}

func (d *decoder) token(field string) (json.Token, int, error) {
	start := d.nextOffset()
	tok, err := d.dec.Token()
	if err == nil {
		return tok, start, nil
	}
	d.addFault(d.syntaxErrorOffset(start), field, "", "well-formed JSON: "+err.Error())
	return nil, 0, errSyntax
}

// syntaxErrorOffset returns the offset of the invalid byte in the token at
// start. It decodes the text from start again, because the offsets in errors of
// json.Decoder.Token do not count the bytes between values.
func (d *decoder) syntaxErrorOffset(start int) int {
	var (
		raw    json.RawMessage
		syntax *json.SyntaxError
	)
	err := json.NewDecoder(bytes.NewReader(d.data[start:])).Decode(&raw)
	if errors.As(err, &syntax) {
		return start + int(syntax.Offset) - 1
	}
	return start
}

// value decodes the next value into v.
func (d *decoder) value(field string, v reflect.Value) error {
	tok, start, err := d.token(field)
	if err != nil {
		return err
	}
	if d.offsets != nil {
		d.offsets[field] = start
	}
	switch v.Kind() {
	case reflect.Struct:
		if tok == json.Delim('{') {
			return d.object(field, start, v)
		}
	case reflect.Slice:
		if tok == json.Delim('[') {
			return d.array(field, v)
		}
	default:
		if setScalar(tok, v) {
			return nil
		}
	}
	d.addFault(start, field, d.rawText(tok, start), kindName(v.Kind()))
	return d.skip(tok)
}

func setScalar(tok json.Token, v reflect.Value) bool {
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
		return setNumber(tok, v)
	}
	return false
}

func setNumber(n json.Number, v reflect.Value) bool {
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

// rawText returns tok, which starts at start, as written in the text.
func (d *decoder) rawText(tok json.Token, start int) string {
	switch tok := tok.(type) {
	case json.Delim:
		return tok.String()
	default:
		return string(d.data[start:d.dec.InputOffset()])
	}
}

// skip skips the rest of the value that starts with tok.
func (d *decoder) skip(tok json.Token) error {
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
		if tok, _, err = d.token(""); err != nil {
			return err
		}
	}
}

func (d *decoder) array(field string, v reflect.Value) error {
	v.Set(reflect.MakeSlice(v.Type(), 0, 0))
	for i := 0; d.dec.More(); i++ {
		element := reflect.New(v.Type().Elem()).Elem()
		if err := d.value(field+"["+strconv.Itoa(i)+"]", element); err != nil {
			return err
		}
		v.Set(reflect.Append(v, element))
	}
	_, _, err := d.token(field)
	return err
}

func (d *decoder) object(field string, start int, v reflect.Value) error {
	fields := fieldsOf(v.Type())
	seen := make(map[string]bool, len(fields))
	for d.dec.More() {
		if err := d.member(field, v, fields, seen); err != nil {
			return err
		}
	}
	if _, _, err := d.token(field); err != nil {
		return err
	}
	for _, name := range slices.Sorted(maps.Keys(fields)) {
		if fields[name].required && !seen[name] {
			d.addFault(start, joinPath(field, name), "", "present")
		}
	}
	return nil
}

func (d *decoder) member(field string, v reflect.Value, fields map[string]fieldInfo, seen map[string]bool) error {
	tok, start, err := d.token(field)
	if err != nil {
		return err
	}
	name, _ := tok.(string)
	path := joinPath(field, name)
	info, known := fields[name]
	if !known {
		d.addFault(start, path, strconv.Quote(name), "one of the fields "+strings.Join(slices.Sorted(maps.Keys(fields)), ", "))
	}
	if seen[name] {
		d.addFault(start, path, strconv.Quote(name), "given once")
	}
	seen[name] = true
	if known {
		return d.value(path, v.Field(info.index))
	}
	tok, _, err = d.token(path)
	if err != nil {
		return err
	}
	return d.skip(tok)
}

func joinPath(field, name string) string {
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

// nearestOffset returns the offset of a field or, if it is absent, of the
// innermost value around it.
func (d *decoder) nearestOffset(field string) int {
	for field != "" {
		if at, ok := d.offsets[field]; ok {
			return at
		}
		field = field[:max(0, strings.LastIndexAny(field, ".["))]
	}
	return d.offsets[""]
}
