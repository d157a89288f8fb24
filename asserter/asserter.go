package asserter

import (
	"fmt"
	"slices"
	"sync/atomic"
)

// Invariant is a promise of the system that is checked at run time.
type Invariant int

// The invariants, in the order of the promises.
const (
	// AdapterNamed holds if an answer comes from the adapter, and the version if any,
	// that its request names.
	AdapterNamed Invariant = iota
	// NoEvictionInUse holds if an adapter is unloaded only when no job uses it.
	NoEvictionInUse
	// OwnAnswer holds if an answer belongs to an attempt of its own request, or is
	// replayed.
	OwnAnswer
	// NotRunTrue holds if a call that is reported as not run has not run and will
	// not run.
	NotRunTrue
	// AtMostOnce holds if a non-idempotent call is sent at most once.
	AtMostOnce
	// NoWorkWhenLeaving holds if an engine that drains gets no new job after a short
	// grace period.
	NoWorkWhenLeaving
	// NoCutOnDrain holds if no request is in flight when a drained node stops.
	NoCutOnDrain
	// EpochNeverFalls holds if a node's bundle is never replaced by one of a lower
	// epoch.
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

// Names returns the names of all invariants, in their order of declaration.
func Names() []string { return slices.Clone(names[:]) }

// Violation describes one failed check of an invariant.
type Violation struct {
	invariant Invariant
	detail    string
}

// Invariant returns the violated invariant.
func (v Violation) Invariant() Invariant { return v.invariant }

// Detail returns the formatted message of the failed check.
func (v Violation) Detail() string { return v.detail }

func (v Violation) String() string { return v.invariant.String() + ": " + v.detail }

// Asserter counts the checks and violations of each invariant. It is safe for
// concurrent use.
type Asserter struct {
	checks     [invariants]atomic.Int64
	violations [invariants]atomic.Int64
	report     func(Violation)
}

// New returns an asserter that passes each violation to report, unless report is nil.
// In tests, report fails the test; a node's report logs the violation.
func New(report func(Violation)) *Asserter {
	return &Asserter{report: report}
}

// Check counts one check of an invariant. If holds is false, it also counts and
// reports a violation, whose detail is made from format and args. It returns holds.
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

// Checks returns the number of checks of an invariant.
func (a *Asserter) Checks(i Invariant) int64 { return a.checks[i].Load() }

// Violations returns the number of failed checks of an invariant.
func (a *Asserter) Violations(i Invariant) int64 { return a.violations[i].Load() }

// Total returns the number of violations of all invariants.
func (a *Asserter) Total() int64 {
	var n int64
	for i := range a.violations {
		n += a.violations[i].Load()
	}
	return n
}

// All returns all invariants, in their order of declaration.
func All() []Invariant {
	all := make([]Invariant, invariants)
	for i := range all {
		all[i] = Invariant(i)
	}
	return all
}
