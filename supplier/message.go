package supplier

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"github.com/dragonflyford/dragonflyford/connector"
	"github.com/dragonflyford/dragonflyford/estimator"
	"github.com/dragonflyford/dragonflyford/sharer"
	"github.com/dragonflyford/dragonflyford/tracker"
)

// ReserveRequest requests capacity on an engine for one call: its model must be
// loaded and there must be time to process its prompt.
type ReserveRequest struct {
	engine               string
	model                connector.Model
	minVersion           int64
	modelMissing         bool
	promptTokens         int
	expectedOutputTokens int
	maxWait              time.Duration
	maxLoadWait          time.Duration
	lastResort           bool
	modelsInUse          []connector.Model
	samples              []estimator.Sample
	workspace            sharer.Workspace
}

// ReserveOption sets an optional property of a ReserveRequest.
type ReserveOption func(*ReserveRequest)

// WithMinVersion requires at least the given version of the model.
func WithMinVersion(version int64) ReserveOption {
	return func(r *ReserveRequest) { r.minVersion = version }
}

// WithModelMissing sets whether the engine refused the call because it does not
// hold the model.
func WithModelMissing(missing bool) ReserveOption {
	return func(r *ReserveRequest) { r.modelMissing = missing }
}

// WithSize sets the length of the call's prompt and of its expected output in
// tokens, and how long the call may wait to be sent once its model is loaded.
func WithSize(prompt, expectedOutput int, maxWait time.Duration) ReserveOption {
	return func(r *ReserveRequest) {
		r.promptTokens, r.expectedOutputTokens, r.maxWait = prompt, expectedOutput, maxWait
	}
}

// WithMaxLoadWait sets how long the call may wait for the load of its model if other
// loads of the engine come first. With 0, it is declined unless the load can start at
// once.
func WithMaxLoadWait(d time.Duration) ReserveOption {
	return func(r *ReserveRequest) { r.maxLoadWait = d }
}

// WithLastResort marks a request after other engines have declined the call, too.
func WithLastResort(last bool) ReserveOption { return func(r *ReserveRequest) { r.lastResort = last } }

// WithModelsInUse lists the models that running calls of the requesting host use
// on the engine.
func WithModelsInUse(models []connector.Model) ReserveOption {
	return func(r *ReserveRequest) { r.modelsInUse = models }
}

// WithSamples adds observations of earlier calls of the requesting host at the
// engine.
func WithSamples(samples []estimator.Sample) ReserveOption {
	return func(r *ReserveRequest) { r.samples = samples }
}

// WithWorkspace names the workspace that the call belongs to. A call without one is not
// subject to fair shares.
func WithWorkspace(w sharer.Workspace) ReserveOption {
	return func(r *ReserveRequest) { r.workspace = w }
}

// NewReserveRequest returns a request for capacity on an engine.
func NewReserveRequest(engine string, m connector.Model, opts ...ReserveOption) ReserveRequest {
	r := ReserveRequest{engine: engine, model: m}
	for _, opt := range opts {
		opt(&r)
	}
	return r
}

// Engine returns the id of the engine.
func (r ReserveRequest) Engine() string { return r.engine }

// Model returns the model that the call uses.
func (r ReserveRequest) Model() connector.Model { return r.model }

// MinVersion returns the lowest acceptable version of the model.
func (r ReserveRequest) MinVersion() int64 { return r.minVersion }

// ModelMissing reports whether the engine refused the call because it does not
// hold the model.
func (r ReserveRequest) ModelMissing() bool { return r.modelMissing }

// PromptTokens returns the length of the prompt in tokens.
func (r ReserveRequest) PromptTokens() int { return r.promptTokens }

// ExpectedOutputTokens returns the expected length of the output in tokens.
func (r ReserveRequest) ExpectedOutputTokens() int { return r.expectedOutputTokens }

// MaxWait returns how long the call may wait to be sent once its model is loaded.
func (r ReserveRequest) MaxWait() time.Duration { return r.maxWait }

// MaxLoadWait returns how long the call may wait for the load of its model if other
// loads of the engine come first.
func (r ReserveRequest) MaxLoadWait() time.Duration { return r.maxLoadWait }

// LastResort reports whether other engines have declined the call, too.
func (r ReserveRequest) LastResort() bool { return r.lastResort }

// ModelsInUse returns the models that running calls of the requesting host use
// on the engine.
func (r ReserveRequest) ModelsInUse() []connector.Model { return r.modelsInUse }

// Samples returns observations of earlier calls of the requesting host at the engine.
func (r ReserveRequest) Samples() []estimator.Sample { return r.samples }

// Workspace returns the workspace that the call belongs to.
func (r ReserveRequest) Workspace() sharer.Workspace { return r.workspace }

// ReserveResponse answers a ReserveRequest: Granted, Declined or NotOwner.
type ReserveResponse interface{ reserveResponse() }

// Granted allows the call to be sent after a wait.
type Granted struct {
	version int64
	wait    time.Duration
	unsure  bool
}

// NewGranted returns a response that allows the call to be sent after wait, when
// the engine holds version.
func NewGranted(version int64, wait time.Duration) Granted {
	return Granted{version: version, wait: wait}
}

// AsUnsure returns the response of an owner that has too few samples of the engine.
func (g Granted) AsUnsure() Granted {
	g.unsure = true
	return g
}

// Unsure reports whether the owner has too few samples of the engine and asks for
// those that the requesting host keeps.
func (g Granted) Unsure() bool { return g.unsure }

// Version returns the version that the engine holds after the wait.
func (g Granted) Version() int64 { return g.version }

// Wait returns the time until the call may be sent.
func (g Granted) Wait() time.Duration { return g.wait }

// Declined reports that the engine has no capacity for the call at present.
type Declined struct {
	reason string
	wait   time.Duration
	full   bool
	loads  bool
}

// NewDeclined returns a refusal with its reason and the time until a retry.
func NewDeclined(reason string, wait time.Duration) Declined {
	return Declined{reason: reason, wait: wait}
}

// NewFull returns a refusal by an engine that has no capacity for any call,
// whatever its model, with the time until it has some again.
func NewFull(wait time.Duration) Declined {
	return Declined{reason: "engine has too many calls", wait: wait, full: true}
}

// NewLoadsQueued returns a refusal because loads of other models come first, with the
// time until the call's model would be loaded.
func NewLoadsQueued(wait time.Duration) Declined {
	return Declined{reason: "too many adapters are on their way", wait: wait, loads: true}
}

// LoadsQueued reports whether the call was declined only because it would have waited
// too long for loads of other models.
func (d Declined) LoadsQueued() bool { return d.loads }

// Full reports whether the engine has no capacity for any call.
func (d Declined) Full() bool { return d.full }

// Reason returns why the request was declined.
func (d Declined) Reason() string { return d.reason }

// Wait returns the time until a retry.
func (d Declined) Wait() time.Duration { return d.wait }

// NotOwner reports that the host may not send orders to the engine.
type NotOwner struct{}

func (Granted) reserveResponse()  {}
func (NotOwner) reserveResponse() {}
func (Declined) reserveResponse() {}

// OrderResult is an engine's answer to an order: Accepted, InForce, Conflict or
// Rejected.
type OrderResult interface{ orderResult() }

type (
	// Accepted means that the engine is carrying the order out.
	Accepted struct{}
	// InForce means that the order has taken full effect.
	InForce struct{}
	// Conflict means that the engine refused the order because it had accepted
	// another one before it.
	Conflict struct{}
	// Rejected means that the engine will not carry the order out.
	Rejected struct{ status int }
)

// NewRejected returns a rejection with the HTTP status of the engine's answer.
func NewRejected(status int) Rejected { return Rejected{status} }

// Status returns the HTTP status of the engine's answer.
func (r Rejected) Status() int { return r.status }

func (Accepted) orderResult() {}
func (InForce) orderResult()  {}
func (Conflict) orderResult() {}
func (Rejected) orderResult() {}

// Report is an engine's report of its loaded models. It lags the engine by some
// hundred milliseconds.
type Report struct {
	sequence int64
	resident map[connector.Model]int64
	loading  map[connector.Model]int64
}

// NewReport returns a report with the number of accepted orders and the versions
// of the models that are resident or being loaded.
func NewReport(sequence int64, resident, loading map[connector.Model]int64) Report {
	return Report{sequence: sequence, resident: resident, loading: loading}
}

// ErrNotSent reports an order that did not leave this host.
var ErrNotSent = eris.New("order was not sent")

// Engines sends orders to engines.
type Engines interface {
	// Order sends an order to an engine, which refuses it with Conflict unless it
	// has accepted exactly expected orders before. After an error other than
	// ErrNotSent the order may have taken effect or may still do so.
	Order(ctx context.Context, e *tracker.Endpoint, o connector.Order, expected int64) (OrderResult, error)
	// Report requests an engine's report of its loaded models.
	Report(ctx context.Context, e *tracker.Endpoint) (Report, error)
}

// Leases gives access to the leases under which this host may send orders.
type Leases interface {
	// Lease returns the fencing token and the remaining time of this host's lease
	// on an engine.
	Lease(engine string) (token uint64, remaining time.Duration, ok bool)
	// Named reports whether this host is the last known owner of an engine, with a lease or
	// without.
	Named(engine string) bool
	// Expects reports whether this process has just started and may soon have a lease on an
	// engine.
	Expects(engine string) bool
}
