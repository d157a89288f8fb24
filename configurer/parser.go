package configurer

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// value is one JSON value with its place in the source: an object, a list or a
// scalar.
type value interface {
	start() int
	end() int
	value()
}

// span is where a value stands.
type span struct{ from, to int }

func (s *span) start() int { return s.from }
func (s *span) end() int   { return s.to }
func (s *span) value()     {}

type object struct {
	span
	members []member
}

type member struct {
	name   string
	offset int
	value  value
}

type list struct {
	span
	items []value
}

type scalar struct {
	span
	token json.Token // string, json.Number, bool or nil
}

// maxDepth bounds the nesting of settings; the deepest field has three levels.
const maxDepth = 16

// syntaxError is JSON that cannot be read.
type syntaxError struct {
	offset int
	reason string
}

func (e *syntaxError) Error() string { return e.reason }

// parser reads values with their positions.
type parser struct {
	src []byte
	dec *json.Decoder
}

func parse(src []byte) (value, error) {
	dec := json.NewDecoder(bytes.NewReader(src))
	dec.UseNumber()
	p := &parser{src: src, dec: dec}
	v, err := p.next(0)
	if err != nil {
		return nil, err
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return nil, &syntaxError{offset: p.skip(v.end()), reason: "nothing after the settings"}
	}
	return v, nil
}

// skip returns the offset of the next token at or after offset.
func (p *parser) skip(offset int) int {
	for offset < len(p.src) && bytes.IndexByte([]byte(" \t\r\n,:"), p.src[offset]) >= 0 {
		offset++
	}
	return offset
}

func (p *parser) token() (json.Token, int, error) {
	offset := p.skip(int(p.dec.InputOffset()))
	token, err := p.dec.Token()
	if err == nil {
		return token, offset, nil
	}
	// The offset in json.SyntaxError is that of the character or the one after
	// it, depending on the error; the start of the token is always known.
	reason := "valid JSON: unexpected end"
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		reason = "valid JSON: " + syntax.Error()
	}
	return nil, offset, &syntaxError{offset: offset, reason: reason}
}

func (p *parser) next(depth int) (value, error) {
	token, offset, err := p.token()
	if err != nil {
		return nil, err
	}
	if depth > maxDepth {
		return nil, &syntaxError{offset: offset, reason: fmt.Sprintf("nesting up to %d levels", maxDepth)}
	}
	switch token {
	case json.Delim('{'):
		return p.object(offset, depth)
	case json.Delim('['):
		return p.list(offset, depth)
	}
	return &scalar{span: span{from: offset, to: p.end()}, token: token}, nil
}

func (p *parser) end() int { return int(p.dec.InputOffset()) }

func (p *parser) object(offset, depth int) (value, error) {
	o := &object{span: span{from: offset}}
	for p.dec.More() {
		token, nameOffset, err := p.token()
		if err != nil {
			return nil, err
		}
		name, ok := token.(string)
		if !ok {
			return nil, &syntaxError{offset: nameOffset, reason: "a field name in quotes"}
		}
		v, err := p.next(depth + 1)
		if err != nil {
			return nil, err
		}
		o.members = append(o.members, member{name: name, offset: nameOffset, value: v})
	}
	if _, _, err := p.token(); err != nil {
		return nil, err
	}
	o.to = p.end()
	return o, nil
}

func (p *parser) list(offset, depth int) (value, error) {
	l := &list{span: span{from: offset}}
	for p.dec.More() {
		v, err := p.next(depth + 1)
		if err != nil {
			return nil, err
		}
		l.items = append(l.items, v)
	}
	if _, _, err := p.token(); err != nil {
		return nil, err
	}
	l.to = p.end()
	return l, nil
}
