package connector

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
)

// Errors of endpoints.
var (
	// ErrRefused reports work that the endpoint did not start: the connection
	// could not be made or the endpoint rejected the work.
	ErrRefused = eris.New("endpoint refused the work")
	// ErrFenced reports an order with a stale fencing token.
	ErrFenced = eris.New("fencing token is stale")
	// ErrBroken reports a request that was sent and has no complete response.
	// Whether it took effect is not known.
	ErrBroken = eris.New("connection broken")
	// ErrOwnerLost reports a job whose connection to the node that owns the
	// engine broke. Whether the engine still runs is not known. The error also
	// wraps ErrBroken.
	ErrOwnerLost = eris.New("connection to the engine's owner broken")
	// ErrNotResident reports a job for an adapter that the engine has not loaded.
	ErrNotResident = eris.New("adapter is not resident")
	// ErrLoadFailed reports a load that ended without the adapter in its slot.
	ErrLoadFailed = eris.New("adapter could not be loaded")
)

// Model names one version of an adapter on its base model.
type Model struct {
	base    string
	adapter string
	version string
}

// NewModel returns the name of an adapter version.
func NewModel(base, adapter, version string) Model {
	return Model{base: base, adapter: adapter, version: version}
}

// Base returns the base model.
func (m Model) Base() string { return m.base }

// Adapter returns the adapter.
func (m Model) Adapter() string { return m.adapter }

// Version returns the adapter's version.
func (m Model) Version() string { return m.version }

// String returns the name in the form that callers use.
func (m Model) String() string { return m.adapter + "@" + m.version }

// Job is one generation for an engine.
type Job struct {
	attempt   string
	request   string
	model     Model
	prompt    string
	maxTokens int
	nextToken int
	seed      uint64
	priority  int
	suspect   bool
}

// JobOption sets an optional property of a Job.
type JobOption func(*Job)

// ResumeAt makes the engine start at the token with index next.
func ResumeAt(nextToken int) JobOption { return func(j *Job) { j.nextToken = nextToken } }

// WithSeed fixes the sampling seed, so that two engines generate the same text.
func WithSeed(seed uint64) JobOption { return func(j *Job) { j.seed = seed } }

// WithPriority sets the priority; higher runs earlier.
func WithPriority(p int) JobOption { return func(j *Job) { j.priority = p } }

// Suspect marks a job that was running on an engine when the engine crashed.
func Suspect() JobOption { return func(j *Job) { j.suspect = true } }

// NewJob returns a job. The attempt id is echoed in every chunk.
func NewJob(attempt, request string, m Model, prompt string, maxTokens int, opts ...JobOption) Job {
	j := Job{attempt: attempt, request: request, model: m, prompt: prompt, maxTokens: maxTokens}
	for _, opt := range opts {
		opt(&j)
	}
	return j
}

// Attempt returns the id of this attempt.
func (j Job) Attempt() string { return j.attempt }

// Request returns the id of the request.
func (j Job) Request() string { return j.request }

// Model returns the adapter version to use.
func (j Job) Model() Model { return j.model }

// Prompt returns the text to continue.
func (j Job) Prompt() string { return j.prompt }

// MaxTokens returns the length limit, counted from token 0.
func (j Job) MaxTokens() int { return j.maxTokens }

// NextToken returns the index of the first token to produce.
func (j Job) NextToken() int { return j.nextToken }

// Seed returns the sampling seed.
func (j Job) Seed() uint64 { return j.seed }

// Priority returns the priority.
func (j Job) Priority() int { return j.priority }

// Suspect reports whether the job was running on an engine when the engine
// crashed.
func (j Job) Suspect() bool { return j.suspect }

// Chunk is one token of an answer.
type Chunk struct {
	attempt string
	model   Model
	index   int
	text    string
	last    bool
}

// NewChunk returns a chunk.
func NewChunk(attempt string, m Model, index int, text string, last bool) Chunk {
	return Chunk{attempt: attempt, model: m, index: index, text: text, last: last}
}

// Attempt returns the attempt that the chunk belongs to.
func (c Chunk) Attempt() string { return c.attempt }

// Model returns the adapter version that produced the chunk.
func (c Chunk) Model() Model { return c.model }

// Index returns the token's position in the answer, from 0.
func (c Chunk) Index() int { return c.index }

// Text returns the token's text.
func (c Chunk) Text() string { return c.text }

// Last reports whether the answer ends here.
func (c Chunk) Last() bool { return c.last }

// Stream is an answer in progress.
type Stream interface {
	// Next returns the next chunk, and io.EOF after the last one. The end of its
	// context may end the stream.
	Next(ctx context.Context) (Chunk, error)
	// Close ends the stream and cancels what is left of the job. It may be called
	// more than once.
	Close() error
}

// Fence is the fencing token of a lease, with the end of the lease. Endpoints
// reject orders with a stale token.
type Fence struct {
	token    uint64
	deadline time.Time
}

// NewFence returns a fence that must not be used past deadline.
func NewFence(token uint64, deadline time.Time) Fence {
	return Fence{token: token, deadline: deadline}
}

// Token returns the fencing token.
func (f Fence) Token() uint64 { return f.token }

// Deadline returns the end of the lease. An order is not written after it.
func (f Fence) Deadline() time.Time { return f.deadline }

// Order changes the state of an engine: LoadModel, LoadAdapter, UnloadAdapter or
// ChangeRole.
type Order interface {
	// Token returns the fencing token of the order.
	Token() uint64
	// Deadline returns the time after which the order must not be sent.
	Deadline() time.Time
	order()
}

// LoadModel loads a base model.
type LoadModel struct {
	Fence
	base string
}

// NewLoadModel returns an order to load a base model.
func NewLoadModel(f Fence, base string) LoadModel { return LoadModel{Fence: f, base: base} }

// Base returns the base model to load.
func (o LoadModel) Base() string { return o.base }

// LoadAdapter loads an adapter version into a free slot.
type LoadAdapter struct {
	Fence
	model Model
}

// NewLoadAdapter returns an order to load m.
func NewLoadAdapter(f Fence, m Model) LoadAdapter { return LoadAdapter{Fence: f, model: m} }

// Model returns the adapter version to load.
func (o LoadAdapter) Model() Model { return o.model }

// UnloadAdapter frees the slot of an adapter version.
type UnloadAdapter struct {
	Fence
	model Model
}

// NewUnloadAdapter returns an order to unload m.
func NewUnloadAdapter(f Fence, m Model) UnloadAdapter { return UnloadAdapter{Fence: f, model: m} }

// Model returns the adapter version to unload.
func (o UnloadAdapter) Model() Model { return o.model }

// Role is the phase of a request that an engine runs: prefill, decode or both.
type Role int

// Roles of an engine.
const (
	RoleBoth Role = iota
	RolePrefill
	RoleDecode
)

// ChangeRole changes an engine's role.
type ChangeRole struct {
	Fence
	role Role
}

// NewChangeRole returns an order to change the role.
func NewChangeRole(f Fence, r Role) ChangeRole { return ChangeRole{Fence: f, role: r} }

// Role returns the role to take.
func (o ChangeRole) Role() Role { return o.role }

func (LoadModel) order()     {}
func (LoadAdapter) order()   {}
func (UnloadAdapter) order() {}
func (ChangeRole) order()    {}

// Report is the state of an engine at the time Age ago, as the engine reported
// it.
type Report struct {
	instance string
	age      time.Duration
	resident []Model
	running  map[Model]int
	queued   int
	batch    int
	prefixes []uint64
}

// NewReport returns a report. The maps and slices must not be changed
// afterwards.
func NewReport(instance string, age time.Duration, resident []Model, running map[Model]int, queued, batch int, prefixes []uint64) Report {
	return Report{
		instance: instance,
		age:      age,
		resident: resident,
		running:  running,
		queued:   queued,
		batch:    batch,
		prefixes: prefixes,
	}
}

// Instance identifies the engine's process; it changes with every restart.
func (r Report) Instance() string { return r.instance }

// Age returns how long ago the engine was in the reported state.
func (r Report) Age() time.Duration { return r.age }

// Resident returns the loaded adapter versions.
func (r Report) Resident() []Model { return r.resident }

// Running returns the number of running jobs of m.
func (r Report) Running(m Model) int { return r.running[m] }

// TotalRunning returns the number of running jobs.
func (r Report) TotalRunning() int {
	n := 0
	for _, c := range r.running {
		n += c
	}
	return n
}

// Queued returns the number of jobs queued in the engine.
func (r Report) Queued() int { return r.queued }

// Batch returns the largest number of jobs that run together.
func (r Report) Batch() int { return r.batch }

// PrefixHashes returns the hashes of cached prompt prefixes that the engine has
// published so far.
func (r Report) PrefixHashes() []uint64 { return r.prefixes }

// Engine is a model engine.
type Engine interface {
	// Generate starts a job. ErrNotResident and ErrRefused mean that it did not
	// start.
	Generate(ctx context.Context, job Job) (Stream, error)
	// Order executes an order and returns when it is complete.
	Order(ctx context.Context, order Order) error
	// Report returns the engine's latest report.
	Report(ctx context.Context) (Report, error)
}

// Operation is one call of a plain service.
type Operation struct {
	attempt string
	id      string
	method  string
	path    string
	body    []byte
}

// NewOperation returns an operation. The id identifies the work: two operations
// with the same id are the same posting. The attempt id is echoed in the reply.
func NewOperation(attempt, id, method, path string, body []byte) Operation {
	return Operation{attempt: attempt, id: id, method: method, path: path, body: body}
}

// Attempt returns the id of this attempt.
func (o Operation) Attempt() string { return o.attempt }

// ID returns the id of the work.
func (o Operation) ID() string { return o.id }

// Method returns the HTTP method.
func (o Operation) Method() string { return o.method }

// Path returns the path below the service's root, with its query.
func (o Operation) Path() string { return o.path }

// Body returns the body.
func (o Operation) Body() []byte { return o.body }

// Reply is the response of a plain service.
type Reply struct {
	attempt     string
	status      int
	contentType string
	body        []byte
}

// NewReply returns a reply to an attempt.
func NewReply(attempt string, status int, contentType string, body []byte) Reply {
	return Reply{attempt: attempt, status: status, contentType: contentType, body: body}
}

// Attempt returns the attempt that the reply belongs to.
func (r Reply) Attempt() string { return r.attempt }

// Status returns the HTTP status.
func (r Reply) Status() int { return r.status }

// ContentType returns the media type of the body.
func (r Reply) ContentType() string { return r.contentType }

// Body returns the body.
func (r Reply) Body() []byte { return r.body }

// Service is a plain service.
type Service interface {
	// Call runs an operation. ErrRefused means that it did not run; after any
	// other error it may have run.
	Call(ctx context.Context, op Operation) (Reply, error)
}
