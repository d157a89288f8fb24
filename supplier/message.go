package supplier

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"github.com/dragonflyford/dragonflyford/connector"
	"github.com/dragonflyford/dragonflyford/tracker"
)

// ReserveRequest asks for a place for one call on an engine: for its model, and for the time
// to read its prompt.
type ReserveRequest struct {
	engine   string
	model    connector.Model
	version  int64
	missing  bool
	tokens   int
	output   int
	patience time.Duration
	used     []connector.Model
}

// ReserveOption sets an optional property of a Want.
type ReserveOption func(*ReserveRequest)

// WithMinVersion asks for a version of the model or a newer one.
func WithMinVersion(version int64) ReserveOption { return func(w *ReserveRequest) { w.version = version } }

// WithModelMissing says that the engine refused the call because it does not hold the
// model.
func WithModelMissing(missing bool) ReserveOption { return func(w *ReserveRequest) { w.missing = missing } }

// WithSize names the length of the call's prompt and of its expected output in
// tokens, and how long the call may wait for its turn after its model is there.
func WithSize(prompt, output int, patience time.Duration) ReserveOption {
	return func(w *ReserveRequest) { w.tokens, w.output, w.patience = prompt, output, patience }
}

// WithModelsInUse names the models in use at the engine.
func WithModelsInUse(models []connector.Model) ReserveOption { return func(w *ReserveRequest) { w.used = models } }

// NewReserveRequest returns a request for a place on an engine.
func NewReserveRequest(engine string, m connector.Model, opts ...ReserveOption) ReserveRequest {
	w := ReserveRequest{engine: engine, model: m}
	for _, opt := range opts {
		opt(&w)
	}
	return w
}

// Engine returns the id of the engine.
func (w ReserveRequest) Engine() string { return w.engine }

// Model returns the model.
func (w ReserveRequest) Model() connector.Model { return w.model }

// MinVersion returns the lowest version that will do.
func (w ReserveRequest) MinVersion() int64 { return w.version }

// ModelMissing reports whether the engine said that it does not hold the model.
func (w ReserveRequest) ModelMissing() bool { return w.missing }

// PromptTokens returns the length of the prompt.
func (w ReserveRequest) PromptTokens() int { return w.tokens }

// OutputTokens returns the expected length of the output in tokens.
func (w ReserveRequest) OutputTokens() int { return w.output }

// MaxWait returns how long the call may wait for its turn.
func (w ReserveRequest) MaxWait() time.Duration { return w.patience }

// ModelsInUse returns the models that were in use.
func (w ReserveRequest) ModelsInUse() []connector.Model { return w.used }

// ReserveResponse answers a Want: Granted, Declined or Unowned.
type ReserveResponse interface{ supply() }

// Granted says that the call may be sent after a wait.
type Granted struct {
	version int64
	wait    time.Duration
}

// NewGranted returns the version that the engine holds by then.
func NewGranted(version int64, wait time.Duration) Granted {
	return Granted{version: version, wait: wait}
}

// Version returns the version that the engine holds after the wait.
func (g Granted) Version() int64 { return g.version }

// Wait returns the time until the call may be sent.
func (g Granted) Wait() time.Duration { return g.wait }

// Declined says that the engine has no place for the call now.
type Declined struct {
	reason string
	wait   time.Duration
	full   bool
}

// NewDeclined returns a reason and when to ask again.
func NewDeclined(reason string, wait time.Duration) Declined {
	return Declined{reason: reason, wait: wait}
}

// NewFull returns that the engine has too many calls, whatever their models, and
// when it has a place again.
func NewFull(wait time.Duration) Declined {
	return Declined{reason: "engine has too many calls", wait: wait, full: true}
}

// Full reports whether the engine has no place for any call.
func (d Declined) Full() bool { return d.full }

// Reason returns why.
func (d Declined) Reason() string { return d.reason }

// Wait returns when to ask again.
func (d Declined) Wait() time.Duration { return d.wait }

// NotOwner says that the host may not give the engine orders.
type NotOwner struct{}

func (Granted) supply()  {}
func (NotOwner) supply()  {}
func (Declined) supply() {}

// OrderResult is an engine's answer to an order: Accepted, InForce, Conflict or
// Rejected.
type OrderResult interface{ verdict() }

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
	Order(ctx context.Context, e *tracker.Endpoint, o connector.Order, expected int64) (OrderResult, error)
	// Report asks an engine what it holds.
	Report(ctx context.Context, e *tracker.Endpoint) (Report, error)
}

// Leases knows which engines this host may send orders to.
type Leases interface {
	// Lease returns the fencing token and how long the right lasts.
	Lease(engine string) (token uint64, left time.Duration, ok bool)
}
