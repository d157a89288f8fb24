package pinner

// Verdict is where a stream may go on: Anywhere, Only or Undecided.
type Verdict interface{ verdict() }

type (
	// Anywhere means that only one version has served since the stream can have begun.
	Anywhere struct{}
	// Only means that the stream may go on at one version only.
	Only struct{ version string }
	// Undecided means that the version at which the stream began is not known now.
	Undecided struct{}
)

// NewOnly returns the verdict that a stream may go on at a version.
func NewOnly(version string) Only { return Only{version: version} }

// Version returns the version at which the stream may go on.
func (o Only) Version() string { return o.version }

// String returns the verdict for logs and messages.
func (Anywhere) String() string { return "anywhere" }

// String returns the version.
func (o Only) String() string { return o.version }

// String returns the verdict for logs and messages.
func (Undecided) String() string { return "undecided" }

func (Anywhere) verdict()  {}
func (Only) verdict()      {}
func (Undecided) verdict() {}

// Record is what is known of the record of a stream: Recorded, Unrecorded or Unread.
type Record interface{ record() }

type (
	// Recorded is a stream that began at a version.
	Recorded struct{ version string }
	// Unrecorded is a stream that has no record, and would have one if it had begun at
	// another version than the base version.
	Unrecorded struct{}
	// Unread is a stream whose record could not be read, or may not be stored yet.
	Unread struct{}
)

// NewRecorded returns the record of a stream that began at a version.
func NewRecorded(version string) Recorded { return Recorded{version: version} }

func (Recorded) record()   {}
func (Unrecorded) record() {}
func (Unread) record()     {}
