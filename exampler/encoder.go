package exampler

import (
	"bytes"
	"encoding/json"
	"fmt"
)

// encode returns a settings document with indentation.
func encode(doc any) ([]byte, error) {
	text, err := json.MarshalIndent(doc, "", "  ")
	if err != nil {
		return nil, fmt.Errorf("encode settings: %w", err)
	}
	return append(text, '\n'), nil
}

// lineDepth is how many nesting levels encodeLines breaks over lines: the
// document and the elements of its lists.
const lineDepth = 2

// encodeLines returns a document with one line for each element of its lists.
// With full indentation, a bundle of 3,000 adapters has about ten times the
// lines.
func encodeLines(doc any) ([]byte, error) {
	compact, err := json.Marshal(doc)
	if err != nil {
		return nil, fmt.Errorf("encode document: %w", err)
	}
	var out bytes.Buffer
	l := lineBreaker{out: &out}
	for _, c := range compact {
		l.add(c)
	}
	out.WriteByte('\n')
	return out.Bytes(), nil
}

// lineBreaker adds line breaks to compact JSON.
type lineBreaker struct {
	out      *bytes.Buffer
	depth    int
	inString bool
	escaped  bool // after a backslash
}

func (l *lineBreaker) add(c byte) {
	switch {
	case l.escaped:
		l.escaped = false
	case l.inString && c == '\\':
		l.escaped = true
	case c == '"':
		l.inString = !l.inString
	case l.inString:
	case c == '{' || c == '[':
		l.depth++
		l.out.WriteByte(c)
		l.lineBreak(l.depth)
		return
	case c == '}' || c == ']':
		l.depth--
		l.lineBreak(l.depth + 1)
		if l.depth < lineDepth {
			l.out.Truncate(l.out.Len() - len(indent))
		}
	case c == ',':
		l.out.WriteByte(c)
		l.lineBreak(l.depth)
		return
	}
	l.out.WriteByte(c)
}

const indent = "  "

func (l *lineBreaker) lineBreak(depth int) {
	if depth > lineDepth {
		return
	}
	l.out.WriteByte('\n')
	for range depth {
		l.out.WriteString(indent)
	}
}
