package classifier

// Outcome reports whether a request's work was executed: Done, NotRun or Unknown.
type Outcome interface {
	// String returns the name used on the wire.
	String() string
	outcome()
}

// Done means that the work was executed and its response is complete.
type Done struct{}

// NotRun means that the work was not executed and will not be executed on behalf
// of this attempt.
type NotRun struct{}

// Unknown means that the work may or may not have been executed.
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
