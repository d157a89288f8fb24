package pinner

import "time"

// Coverage is how far back the records of a source reach: Complete, Incomplete or Unknown.
// Only the first makes the absence of a record say anything.
type Coverage interface{ coverage() }

type (
	// Complete means that the source has the records of all streams that began within a
	// span before now.
	Complete struct{ span time.Duration }
	// Incomplete means that records may be missing: the source has started or stood still
	// lately, or was restored from an older copy.
	Incomplete struct{}
	// Unknown means that the source did not answer.
	Unknown struct{}
)

// NewComplete returns the coverage of a source that has the records of all streams that
// began within a span before now.
func NewComplete(span time.Duration) Complete { return Complete{span: span} }

// Span returns the time before now in which no record is missing.
func (c Complete) Span() time.Duration { return c.span }

func (Complete) coverage()   {}
func (Incomplete) coverage() {}
func (Unknown) coverage()    {}

// Answer is what a source says of the record of a stream: Found or Absent.
type Answer interface{ answer() }

type (
	// Found is the record of a stream that began at a version.
	Found struct{ version string }
	// Absent means that the source names no record.
	Absent struct{ coverage Coverage }
)

// NewFound returns the answer that a stream began at a version.
func NewFound(version string) Found { return Found{version: version} }

// Version returns the version at which the stream began.
func (f Found) Version() string { return f.version }

// NewAbsent returns the answer of a source that names no record.
func NewAbsent(c Coverage) Absent { return Absent{coverage: c} }

// Coverage returns how far back the records of the source reach.
func (a Absent) Coverage() Coverage { return a.coverage }

func (Found) answer()  {}
func (Absent) answer() {}

// maxProofs is the number of hosts whose complete records prove that a stream has none. A
// record is kept by two of the four hosts asked first, or more.
const maxProofs = 3

// Assess returns what the hosts that may hold the record of a stream, and the store, say
// together. One record decides. That there is none is proved by the hosts whose records
// reach back for the lifetime of a stream; or by the store if its records do, and enough
// hosts answer that hold none which the store has not got yet.
func (p *Pinner) Assess(hosts []Answer, store Answer) Record {
	answered, complete := 0, 0
	for _, a := range hosts {
		switch a := a.(type) {
		case Found:
			return NewRecorded(a.version)
		case Absent:
			switch c := a.coverage.(type) {
			case Complete:
				answered++
				if c.span >= p.lifetime {
					complete++
				}
			case Incomplete:
				answered++
			case Unknown:
			}
		}
	}
	needed := min(maxProofs, max(len(hosts)-1, 1)) // the host at which the stream began may be gone
	if complete >= needed {
		if found, ok := store.(Found); ok {
			return NewRecorded(found.version)
		}
		return Unrecorded{}
	}
	switch a := store.(type) {
	case Found:
		return NewRecorded(a.version)
	case Absent:
		if c, ok := a.coverage.(Complete); ok && c.span >= p.lifetime && answered >= needed {
			return Unrecorded{}
		}
	}
	return Unread{}
}
