package configurer

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// value is a JSON value with its position in the source: an *object, a *list or a
// *scalar.
type value interface {
	start() int
	end() int
	value()
}

// span is the byte range of a value in the source.
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

// syntaxError reports invalid JSON and its position.
type syntaxError struct {
	offset int
	reason string
}

func (e *syntaxError) Error() string { return e.reason }

// parser parses JSON values and records their positions.
type parser struct {
	src []byte
	dec *json.Decoder
}

func parse(src []byte) (value, error) {
	dec := json.NewDecoder(bytes.NewReader(src))
	dec.UseNumber()
	p := &parser{src: src, dec: dec}
	v, err := p.parseValue(0)
	if err != nil {
		return nil, err
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return nil, &syntaxError{offset: p.skipSeparators(v.end()), reason: "nothing after the settings"}
	}
	return v, nil
}

// skipSeparators returns the offset of the next token at or after offset, past
// white space, commas and colons.
func (p *parser) skipSeparators(offset int) int {
	for offset < len(p.src) && bytes.IndexByte([]byte(" \t\r\n,:"), p.src[offset]) >= 0 {
		offset++
	}
	return offset
}

func (p *parser) nextToken() (json.Token, int, error) {
	offset := p.skipSeparators(int(p.dec.InputOffset()))
	token, err := p.dec.Token()
	if err == nil {
		return token, offset, nil
	}
	// json.SyntaxError.Offset is that of the invalid character or the one after
	// it, depending on the error, so the start of the token is used instead.
	reason := "valid JSON: unexpected end"
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		reason = "valid JSON: " + syntax.Error()
	}
	return nil, offset, &syntaxError{offset: offset, reason: reason}
}

func (p *parser) parseValue(depth int) (value, error) {
	token, offset, err := p.nextToken()
	if err != nil {
		return nil, err
	}
	if depth > maxDepth {
		return nil, &syntaxError{offset: offset, reason: fmt.Sprintf("nesting up to %d levels", maxDepth)}
	}
	switch token {
	case json.Delim('{'):
		return p.parseObject(offset, depth)
	case json.Delim('['):
		return p.parseList(offset, depth)
	}
	return &scalar{span: span{from: offset, to: p.offset()}, token: token}, nil
}

// offset returns the offset of the end of the last token.
func (p *parser) offset() int { return int(p.dec.InputOffset()) }

func (p *parser) parseObject(offset, depth int) (value, error) {
	o := &object{span: span{from: offset}}
	for p.dec.More() {
		token, nameOffset, err := p.nextToken()
		if err != nil {
			return nil, err
		}
		name, ok := token.(string)
		if !ok {
			return nil, &syntaxError{offset: nameOffset, reason: "a field name in quotes"}
		}
		v, err := p.parseValue(depth + 1)
		if err != nil {
			return nil, err
		}
		o.members = append(o.members, member{name: name, offset: nameOffset, value: v})
	}
	if _, _, err := p.nextToken(); err != nil {
		return nil, err
	}
	o.to = p.offset()
	return o, nil
}

func (p *parser) parseList(offset, depth int) (value, error) {
	l := &list{span: span{from: offset}}
	for p.dec.More() {
		v, err := p.parseValue(depth + 1)
		if err != nil {
			return nil, err
		}
		l.items = append(l.items, v)
	}
	if _, _, err := p.nextToken(); err != nil {
		return nil, err
	}
	l.to = p.offset()
	return l, nil
}
