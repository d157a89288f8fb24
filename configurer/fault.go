package configurer

import (
	"bytes"
	"fmt"
	"strings"
)

// Fault is one thing that is wrong with the settings.
type Fault struct {
	line    int
	column  int
	field   string
	value   string
	allowed string
}

// Line returns the line of the value, from 1.
func (f Fault) Line() int { return f.line }

// Column returns the column of the value in bytes, from 1.
func (f Fault) Column() int { return f.column }

// Field returns the path of the field, such as "lease.time".
func (f Fault) Field() string { return f.field }

// Value returns the value as it is written in the settings.
func (f Fault) Value() string { return f.value }

// Allowed returns what may stand there.
func (f Fault) Allowed() string { return f.allowed }

func (f Fault) String() string {
	what := f.field
	if what == "" {
		what = "the settings"
	}
	if f.value == "" {
		return fmt.Sprintf("%d:%d: %s: allowed is %s", f.line, f.column, what, f.allowed)
	}
	return fmt.Sprintf("%d:%d: %s is %s; allowed is %s", f.line, f.column, what, f.value, f.allowed)
}

// Error lists everything that is wrong with the settings, in the order of the
// document.
type Error struct {
	path   string
	faults []Fault
}

// Path returns the file that was read, or "".
func (e *Error) Path() string { return e.path }

// Faults returns the faults; the slice must not be changed.
func (e *Error) Faults() []Fault { return e.faults }

func (e *Error) Error() string {
	lines := make([]string, len(e.faults))
	for i, f := range e.faults {
		lines[i] = f.String()
		if e.path != "" {
			lines[i] = e.path + ":" + lines[i]
		}
	}
	return strings.Join(lines, "\n")
}

// position returns the line and column of an offset.
func position(src []byte, offset int) (line, column int) {
	before := src[:min(offset, len(src))]
	return 1 + bytes.Count(before, []byte("\n")), len(before) - bytes.LastIndexByte(before, '\n')
}
