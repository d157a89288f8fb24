package inspector

import (
	"cmp"
	"fmt"
)

// Change is one difference between two configurations: Added, Removed or Changed.
type Change interface {
	// Entry names the entry, such as route "a".
	Entry() string
	// Effect states the effect on callers.
	Effect() string
	String() string
	change()
}

// subject is what all changes have.
type subject struct {
	entry  string
	effect string
}

// Entry implements Change.
func (s subject) Entry() string { return s.entry }

// Effect implements Change.
func (s subject) Effect() string { return s.effect }

func (subject) change() {}

type (
	// Added is an entry that only the new configuration has.
	Added struct {
		subject
		after string
	}
	// Removed is an entry that only the old configuration has.
	Removed struct {
		subject
		before string
	}
	// Changed is a property that has another value in the new configuration.
	Changed struct {
		subject
		property      string
		before, after string
	}
)

// After returns the values of the entry, or "" for a key.
func (a Added) After() string { return a.after }

// Before returns the values that the entry had, or "" for a key.
func (r Removed) Before() string { return r.before }

// Property returns the name of the property.
func (c Changed) Property() string { return c.property }

// Before returns the old value, or "" if there was none.
func (c Changed) Before() string { return c.before }

// After returns the new value, or "" if there is none.
func (c Changed) After() string { return c.after }

func (a Added) String() string   { return "+ " + a.entry + withValue(a.after) + "; " + a.effect }
func (r Removed) String() string { return "- " + r.entry + withValue(r.before) + "; " + r.effect }

func (c Changed) String() string {
	return fmt.Sprintf("~ %s: %s %s -> %s; %s", c.entry, c.property, cmp.Or(c.before, "none"), cmp.Or(c.after, "none"), c.effect)
}

func withValue(text string) string {
	if text == "" {
		return ""
	}
	return ": " + text
}
