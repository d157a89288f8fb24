package allotter

import (
	"time"

	"github.com/dragonflyford/dragonflyford/accountant"
)

// Source is who decided on a call: Owner, Fallback, Local or Cached.
type Source interface {
	// String returns the name used in metrics.
	String() string
	source()
}

type (
	// Owner is the quota owner.
	Owner struct{}
	// Fallback is the next host in rank, because the quota owner did not answer.
	Fallback struct{}
	// Local is the host itself, because neither of the others answered.
	Local struct{}
	// Cached is the host itself, from a recent refusal by a quota owner.
	Cached struct{}
)

func (Owner) source()    {}
func (Fallback) source() {}
func (Local) source()    {}
func (Cached) source()   {}

// String implements Source.
func (Owner) String() string { return "owner" }

// String implements Source.
func (Fallback) String() string { return "fallback" }

// String implements Source.
func (Local) String() string { return "local" }

// String implements Source.
func (Cached) String() string { return "cached" }

// Sources returns all sources.
func Sources() []Source { return []Source{Owner{}, Fallback{}, Local{}, Cached{}} }

// Observer receives the decisions.
type Observer interface {
	// RecordDraw records a decision and how long it took.
	RecordDraw(s Source, v accountant.Verdict, took time.Duration)
}
