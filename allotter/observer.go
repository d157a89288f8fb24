package allotter

import (
	"time"

	"github.com/dragonflyford/dragonflyford/accountant"
)

// Source is who decided on a call: Owner, Second, Alone or Recent.
type Source interface {
	// String returns the name used in metrics.
	String() string
	source()
}

type (
	// Owner is the quota owner.
	Owner struct{}
	// Second is the next host in rank, because the quota owner did not answer.
	Second struct{}
	// Alone is the host itself, because neither of the others answered.
	Alone struct{}
	// Recent is the host itself, because it was told lately that the quota is used up.
	Recent struct{}
)

func (Owner) source()  {}
func (Second) source() {}
func (Alone) source()  {}
func (Recent) source() {}

func (Owner) String() string  { return "owner" }
func (Second) String() string { return "second" }
func (Alone) String() string  { return "alone" }
func (Recent) String() string { return "recent" }

// Sources returns all sources.
func Sources() []Source { return []Source{Owner{}, Second{}, Alone{}, Recent{}} }

// Observer is told of the decisions.
type Observer interface {
	// RecordDraw records a decision and how long it took.
	RecordDraw(s Source, v accountant.Verdict, took time.Duration)
}
