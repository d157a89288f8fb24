package classifier

// Outcome says what became of a request's work. The set is closed: Done, NotRun
// and Unknown.
type Outcome interface {
	// String returns the name used on the wire.
	String() string
	outcome()
}

// Done means that the work ran and its answer is complete.
type Done struct{}

// NotRun means that the work did not run and will not run on behalf of this
// attempt.
type NotRun struct{}

// Unknown means that the work may or may not have run.
type Unknown struct{}

func (Done) outcome()    {}
func (NotRun) outcome()  {}
func (Unknown) outcome() {}

func (Done) String() string    { return "done" }
func (NotRun) String() string  { return "not-run" }
func (Unknown) String() string { return "unknown" }

// ParseOutcome returns the outcome with the given wire name, and Unknown for any
// other name.
func ParseOutcome(name string) Outcome {
	switch name {
	case Done{}.String():
		return Done{}
	case NotRun{}.String():
		return NotRun{}
	default:
		return Unknown{}
	}
}
