package asserter

import (
	"fmt"
	"slices"
	"sync/atomic"
)

// Invariant is a promise that the program checks while it runs.
type Invariant int

// The invariants, in the order of the promises.
const (
	AdapterNamed Invariant = iota
	NoEvictionInUse
	OwnAnswer
	NotRunTrue
	AtMostOnce
	NoWorkWhenLeaving
	NoCutOnDrain
	EpochNeverFalls
	invariants
)

var names = [invariants]string{
	"adapter-named",
	"no-eviction-in-use",
	"own-answer",
	"not-run-true",
	"at-most-once",
	"no-work-when-leaving",
	"no-cut-on-drain",
	"epoch-never-falls",
}

// String returns the invariant's name.
func (i Invariant) String() string { return names[i] }

// Names returns the names of all invariants, in the order of the promises.
func Names() []string { return slices.Clone(names[:]) }

// Violation is one broken invariant.
type Violation struct {
	invariant Invariant
	detail    string
}

// Invariant returns which invariant broke.
func (v Violation) Invariant() Invariant { return v.invariant }

// Detail returns what was seen.
func (v Violation) Detail() string { return v.detail }

func (v Violation) String() string { return v.invariant.String() + ": " + v.detail }

// Asserter counts checks and violations.
type Asserter struct {
	checks     [invariants]atomic.Int64
	violations [invariants]atomic.Int64
	report     func(Violation)
}

// New returns an asserter that passes each violation to report. Tests fail in
// it; a node logs and counts.
func New(report func(Violation)) *Asserter {
	return &Asserter{report: report}
}

// Check counts one check of an invariant and reports a violation if it does not
// hold. It returns holds.
func (a *Asserter) Check(i Invariant, holds bool, format string, args ...any) bool {
	a.checks[i].Add(1)
	if holds {
		return true
	}
	a.violations[i].Add(1)
	if a.report != nil {
		a.report(Violation{invariant: i, detail: fmt.Sprintf(format, args...)})
	}
	return false
}

// Checks returns how often an invariant was checked.
func (a *Asserter) Checks(i Invariant) int64 { return a.checks[i].Load() }

// Violations returns how often an invariant was broken.
func (a *Asserter) Violations(i Invariant) int64 { return a.violations[i].Load() }

// Total returns the number of violations of all invariants.
func (a *Asserter) Total() int64 {
	var n int64
	for i := range a.violations {
		n += a.violations[i].Load()
	}
	return n
}

// All returns every invariant.
func All() []Invariant {
	all := make([]Invariant, invariants)
	for i := range all {
		all[i] = Invariant(i)
	}
	return all
}
