package supplier

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"github.com/dragonflyford/dragonflyford/connector"
	"github.com/dragonflyford/dragonflyford/tracker"
)

// Want asks for an adapter, or a base model, on an engine.
type Want struct {
	engine  string
	model   connector.Model
	version int64
	missing bool
	used    []connector.Model
}

// NewWant returns a request for at least a version of a model on an engine.
// Missing says that the engine refused a call because it does not hold the model.
// Used names the models that were in use at the engine since the last request.
func NewWant(engine string, m connector.Model, version int64, missing bool, used []connector.Model) Want {
	return Want{engine: engine, model: m, version: version, missing: missing, used: used}
}

// Engine returns the id of the engine.
func (w Want) Engine() string { return w.engine }

// Model returns the model.
func (w Want) Model() connector.Model { return w.model }

// Version returns the lowest version that will do.
func (w Want) Version() int64 { return w.version }

// Missing reports whether the engine said that it does not hold the model.
func (w Want) Missing() bool { return w.missing }

// Used returns the models that were in use.
func (w Want) Used() []connector.Model { return w.used }

// Supply answers a Want: Ready, Coming or Declined.
type Supply interface{ supply() }

// Ready says that the engine holds the model.
type Ready struct{ version int64 }

// NewReady returns the version that the engine holds.
func NewReady(version int64) Ready { return Ready{version} }

// Version returns the version that the engine holds.
func (r Ready) Version() int64 { return r.version }

// Coming says that the model is on its way.
type Coming struct {
	version int64
	wait    time.Duration
}

// NewComing returns the version that is on its way and when it should be there.
func NewComing(version int64, wait time.Duration) Coming {
	return Coming{version: version, wait: wait}
}

// Version returns the version that is on its way.
func (c Coming) Version() int64 { return c.version }

// Wait returns the time until the model should be there.
func (c Coming) Wait() time.Duration { return c.wait }

// Declined says that the model will not be loaded now.
type Declined struct {
	reason string
	wait   time.Duration
}

// NewDeclined returns a reason and when to ask again.
func NewDeclined(reason string, wait time.Duration) Declined {
	return Declined{reason: reason, wait: wait}
}

// Reason returns why.
func (d Declined) Reason() string { return d.reason }

// Wait returns when to ask again.
func (d Declined) Wait() time.Duration { return d.wait }

func (Ready) supply()    {}
func (Coming) supply()   {}
func (Declined) supply() {}

// Verdict is an engine's answer to an order: Accepted, InForce, Conflict or
// Rejected.
type Verdict interface{ verdict() }

type (
	// Accepted is an order that is being carried out.
	Accepted struct{}
	// InForce is an order that has taken full effect.
	InForce struct{}
	// Conflict is an order that was refused because another one came before.
	Conflict struct{}
	// Rejected is an order that the engine will not carry out.
	Rejected struct{ status int }
)

// NewRejected returns a rejection with the status of the answer.
func NewRejected(status int) Rejected { return Rejected{status} }

// Status returns the status of the answer.
func (r Rejected) Status() int { return r.status }

func (Accepted) verdict() {}
func (InForce) verdict()  {}
func (Conflict) verdict() {}
func (Rejected) verdict() {}

// Report is what an engine says of its weights. It is some hundred milliseconds
// old.
type Report struct {
	sequence int64
	held     map[connector.Model]int64
	coming   map[connector.Model]int64
}

// NewReport returns a report: how many orders were accepted, what is loaded and
// what is on its way.
func NewReport(sequence int64, held, coming map[connector.Model]int64) Report {
	return Report{sequence: sequence, held: held, coming: coming}
}

// ErrNotSent reports an order that did not leave this host.
var ErrNotSent = eris.New("order was not sent")

// Engines sends orders to engines.
type Engines interface {
	// Order sends an order to an engine process that must have accepted expected
	// orders before. An error other than ErrNotSent leaves open whether the order
	// is or will be carried out.
	Order(ctx context.Context, e *tracker.Endpoint, o connector.Order, expected int64) (Verdict, error)
	// Report asks an engine what it holds.
	Report(ctx context.Context, e *tracker.Endpoint) (Report, error)
}

// Rights knows which engines this host may send orders to.
type Rights interface {
	// Right returns the fencing token and how long the right lasts.
	Right(engine string) (token uint64, left time.Duration, ok bool)
}
