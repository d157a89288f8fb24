package bundler

import (
	"fmt"
	"sort"
	"strings"
)

// Position is a position in the text of a bundle. Lines and columns count from
// 1; columns count bytes.
type Position struct {
	line   int
	column int
}

func (p Position) Line() int { return p.line }

func (p Position) Column() int { return p.column }

// IsValid reports whether the position is set. Faults of documents that were
// built or joined in memory have no position.
func (p Position) IsValid() bool { return p.line > 0 }

func (p Position) String() string { return fmt.Sprintf("%d:%d", p.line, p.column) }

// Fault describes one invalid value in a bundle.
type Fault struct {
	position Position
	field    string
	value    string
	allowed  string
}

// Position returns the start of the invalid value.
func (f Fault) Position() Position { return f.position }

// Field returns the path of the field, such as adapters[2].base.
func (f Fault) Field() string { return f.field }

// Value returns the value as written; it is empty for a missing field.
func (f Fault) Value() string { return f.value }

// Allowed describes the values that the field may have.
func (f Fault) Allowed() string { return f.allowed }

func (f Fault) String() string {
	var b strings.Builder
	if f.position.IsValid() {
		b.WriteString(f.position.String() + ": ")
	}
	field := f.field
	if field == "" {
		field = "bundle"
	}
	fmt.Fprintf(&b, "%s: value %s is not allowed; must be %s", field, orNone(f.value), f.allowed)
	return b.String()
}

func orNone(value string) string {
	if value == "" {
		return "(none)"
	}
	return value
}

// ParseError lists all faults of a bundle.
type ParseError struct {
	faults []Fault
}

// Faults returns the faults in the order of the text.
func (e *ParseError) Faults() []Fault { return e.faults }

func (e *ParseError) Error() string {
	lines := make([]string, 0, len(e.faults))
	for _, f := range e.faults {
		lines = append(lines, f.String())
	}
	return strings.Join(lines, "\n")
}

// lines holds the offset at which each line of a text starts.
type lines []int

func newLines(data []byte) lines {
	starts := lines{0}
	for i, b := range data {
		if b == '\n' {
			starts = append(starts, i+1)
		}
	}
	return starts
}

// locate returns the position of a byte offset.
func (l lines) locate(offset int) Position {
	line := sort.SearchInts(l, offset+1)
	return Position{line: line, column: offset - l[line-1] + 1}
}
