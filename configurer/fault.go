package configurer

import (
	"bytes"
	"fmt"
	"strings"
)

// Fault is one invalid value or missing field in the settings.
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

// Value returns the value as written in the settings.
func (f Fault) Value() string { return f.value }

// Allowed describes the allowed values.
func (f Fault) Allowed() string { return f.allowed }

func (f Fault) String() string {
	subject := f.field
	if subject == "" {
		subject = "the settings"
	}
	if f.value == "" {
		return fmt.Sprintf("%d:%d: %s: allowed is %s", f.line, f.column, subject, f.allowed)
	}
	return fmt.Sprintf("%d:%d: %s is %s; allowed is %s", f.line, f.column, subject, f.value, f.allowed)
}

// Error lists all faults of a settings file in the order of their positions.
type Error struct {
	path   string
	faults []Fault
}

// Path returns the path of the settings file, or "" if they were not read from a
// file.
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

// position returns the line and column of a byte offset.
func position(src []byte, offset int) (line, column int) {
	before := src[:min(offset, len(src))]
	return 1 + bytes.Count(before, []byte("\n")), len(before) - bytes.LastIndexByte(before, '\n')
}
