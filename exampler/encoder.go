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

// lineDepth is how many levels encodeLines breaks over lines: the document and
// the elements of its lists.
const lineDepth = 2

// encodeLines returns a document with one element of its lists on a line. With
// full indentation, a bundle of 3,000 adapters has about ten times the lines.
func encodeLines(doc any) ([]byte, error) {
	compact, err := json.Marshal(doc)
	if err != nil {
		return nil, fmt.Errorf("encode document: %w", err)
	}
	var out bytes.Buffer
	l := liner{out: &out}
	for _, c := range compact {
		l.add(c)
	}
	out.WriteByte('\n')
	return out.Bytes(), nil
}

// liner breaks compact JSON over lines.
type liner struct {
	out     *bytes.Buffer
	depth   int
	text    bool // inside a string
	escaped bool // after a backslash
}

func (l *liner) add(c byte) {
	switch {
	case l.escaped:
		l.escaped = false
	case l.text && c == '\\':
		l.escaped = true
	case c == '"':
		l.text = !l.text
	case l.text:
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

func (l *liner) lineBreak(depth int) {
	if depth > lineDepth {
		return
	}
	l.out.WriteByte('\n')
	for range depth {
		l.out.WriteString(indent)
	}
}
