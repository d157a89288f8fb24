package forwarder

import (
	"context"
	"fmt"
	"io"
	"math"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
	"storj.io/drpc"

	"github.com/dragonflyford/dragonflyford/classifier"
	"github.com/dragonflyford/dragonflyford/connector"
	"github.com/dragonflyford/dragonflyford/encoder"
)

// deadlineDocument is the wire form of a deadline. It is a remaining duration,
// because clocks of different hosts are never compared.
type deadlineDocument struct {
	RemainingUS int64 `cbor:"15,keyasint,omitempty"` // 0: no deadline
}

const maxRemaining = 24 * time.Hour // longer durations have the same effect as none and are reduced to this

// setDeadline sets the document from the deadline of ctx. It returns an error if
// ctx has ended or its deadline has passed.
func (d *deadlineDocument) setDeadline(ctx context.Context) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	remaining, ok := remainingTime(ctx)
	if !ok {
		return nil
	}
	if remaining <= 0 {
		return context.DeadlineExceeded
	}
	d.RemainingUS = max(min(remaining, maxRemaining).Microseconds(), 1)
	return nil
}

// applyDeadline returns a copy of ctx with the deadline of the document.
func (d *deadlineDocument) applyDeadline(ctx context.Context) (context.Context, context.CancelFunc) {
	if d.RemainingUS == 0 {
		return context.WithCancel(ctx)
	}
	remaining := min(max(d.RemainingUS, 0), maxRemaining.Microseconds())
	return context.WithTimeout(ctx, time.Duration(remaining)*time.Microsecond)
}

// request is a message that carries a deadline.
type request interface {
	setDeadline(ctx context.Context) error
}

type runRequest struct {
	deadlineDocument
	Engine    cbor.ByteString `cbor:"1,keyasint,omitempty"`
	Attempt   cbor.ByteString `cbor:"2,keyasint,omitempty"`
	Request   cbor.ByteString `cbor:"3,keyasint,omitempty"`
	Model     modelDocument   `cbor:"4,keyasint"`
	Prompt    cbor.ByteString `cbor:"5,keyasint,omitempty"`
	MaxTokens int             `cbor:"6,keyasint,omitempty"`
	NextToken int             `cbor:"7,keyasint,omitempty"`
	Seed      uint64          `cbor:"8,keyasint,omitempty"`
	Priority  int             `cbor:"9,keyasint,omitempty"`
	Suspect   bool            `cbor:"10,keyasint,omitempty"`
}

type stateRequest struct {
	deadlineDocument
	Since uint64 `cbor:"1,keyasint,omitempty"`
}

type extendRequest struct {
	deadlineDocument
	From cbor.ByteString `cbor:"1,keyasint,omitempty"`
}

type releaseEngineRequest struct {
	deadlineDocument
	Engine cbor.ByteString `cbor:"1,keyasint,omitempty"`
	Token  uint64          `cbor:"2,keyasint,omitempty"`
}

type latestBundlesRequest struct {
	deadlineDocument
}

type bundlePartRequest struct {
	deadlineDocument
	Hash []byte `cbor:"1,keyasint,omitempty"`
}

type applyMarksRequest struct {
	deadlineDocument
	Marks []byte `cbor:"1,keyasint,omitempty"`
}

// reply is the response to a unary call.
type reply[T any] struct {
	Failure *failureDocument `cbor:"1,keyasint,omitempty"`
	Value   T                `cbor:"2,keyasint"`
}

// replace implements replaceable.
func (r *reply[T]) replace(d *failureDocument) drpc.Message { return &reply[T]{Failure: d} }

type modelDocument struct {
	Base    cbor.ByteString `cbor:"1,keyasint,omitempty"`
	Adapter cbor.ByteString `cbor:"2,keyasint,omitempty"`
	Version cbor.ByteString `cbor:"3,keyasint,omitempty"`
}

func encodeModel(m connector.Model) modelDocument {
	return modelDocument{
		Base:    cbor.ByteString(m.Base()),
		Adapter: cbor.ByteString(m.Adapter()),
		Version: cbor.ByteString(m.Version()),
	}
}

func decodeModel(d modelDocument) connector.Model {
	return connector.NewModel(string(d.Base), string(d.Adapter), string(d.Version))
}

func encodeModels(models []connector.Model) []modelDocument {
	docs := make([]modelDocument, 0, len(models))
	for _, m := range models {
		docs = append(docs, encodeModel(m))
	}
	return docs
}

func decodeModels(docs []modelDocument) []connector.Model {
	models := make([]connector.Model, 0, len(docs))
	for _, d := range docs {
		models = append(models, decodeModel(d))
	}
	return models
}

func encodeJob(engine string, j connector.Job) *runRequest {
	return &runRequest{
		Engine:    cbor.ByteString(engine),
		Attempt:   cbor.ByteString(j.Attempt()),
		Request:   cbor.ByteString(j.Request()),
		Model:     encodeModel(j.Model()),
		Prompt:    cbor.ByteString(j.Prompt()),
		MaxTokens: j.MaxTokens(),
		NextToken: j.NextToken(),
		Seed:      j.Seed(),
		Priority:  j.Priority(),
		Suspect:   j.Suspect(),
	}
}

func decodeJob(d *runRequest) (connector.Job, error) {
	if d.NextToken < 0 || d.MaxTokens < 0 {
		return connector.Job{}, fmt.Errorf("next token %d and maximum tokens %d must not be negative", d.NextToken, d.MaxTokens)
	}
	opts := []connector.JobOption{
		connector.ResumeAt(d.NextToken),
		connector.WithSeed(d.Seed),
		connector.WithPriority(d.Priority),
	}
	if d.Suspect {
		opts = append(opts, connector.Suspect())
	}
	return connector.NewJob(string(d.Attempt), string(d.Request), decodeModel(d.Model), string(d.Prompt), d.MaxTokens, opts...), nil
}

type extensionDocument struct {
	Granted    bool   `cbor:"1,keyasint,omitempty"`
	DurationUS int64  `cbor:"2,keyasint,omitempty"`
	Assignment uint64 `cbor:"3,keyasint,omitempty"`
}

// encodeExtension returns the wire form of e. It rounds the duration down, so
// that the requesting node never assumes a longer duration than the member
// granted.
func encodeExtension(e Extension) extensionDocument {
	return extensionDocument{Granted: e.granted, DurationUS: e.duration.Microseconds(), Assignment: e.assignment}
}

func decodeExtension(d extensionDocument) Extension {
	duration := min(max(d.DurationUS, 0), maxRemaining.Microseconds())
	return NewExtension(d.Granted, time.Duration(duration)*time.Microsecond, d.Assignment)
}

// batch is a message with chunks of consecutive indexes. The chunks have the
// attempt and the model of the job unless Origin is set.
type batch struct {
	First   int               `cbor:"1,keyasint,omitempty"`
	Texts   []cbor.ByteString `cbor:"2,keyasint,omitempty"`
	Last    bool              `cbor:"3,keyasint,omitempty"` // the last text is the last chunk of the response
	Origin  *origin           `cbor:"4,keyasint,omitempty"`
	Failure *failureDocument  `cbor:"5,keyasint,omitempty"` // if set, the stream ends with this error after the texts
	End     bool              `cbor:"6,keyasint,omitempty"` // the stream ends after the texts
	bytes   int               // total size of Texts
}

// replace implements replaceable.
func (b *batch) replace(d *failureDocument) drpc.Message { return &batch{Failure: d} }

// origin is the attempt and the model that produced chunks.
type origin struct {
	Attempt cbor.ByteString `cbor:"1,keyasint,omitempty"`
	Model   modelDocument   `cbor:"2,keyasint"`
}

const maxBatch = 32 << 10 // bytes of texts in a batch; a longer text gets a batch of its own

// add appends a chunk. It returns false, without appending, if the chunk needs
// another batch.
func (b *batch) add(c connector.Chunk, job connector.Job) bool {
	chunkOrigin := originOf(c, job)
	if len(b.Texts) == 0 {
		b.First, b.Origin = c.Index(), chunkOrigin
	}
	switch {
	case b.Last, c.Index() != b.First+len(b.Texts), b.bytes+len(c.Text()) > maxBatch && len(b.Texts) > 0:
		return false
	case (chunkOrigin == nil) != (b.Origin == nil), chunkOrigin != nil && *chunkOrigin != *b.Origin:
		return false
	}
	b.Texts = append(b.Texts, cbor.ByteString(c.Text()))
	b.bytes += len(c.Text())
	b.Last = c.Last()
	return true
}

// originOf returns the origin of c, or nil if c has the attempt and the model of
// the job.
func originOf(c connector.Chunk, job connector.Job) *origin {
	if c.Attempt() == job.Attempt() && c.Model() == job.Model() {
		return nil
	}
	return &origin{Attempt: cbor.ByteString(c.Attempt()), Model: encodeModel(c.Model())}
}

// ends reports whether the stream ends after the texts.
func (b *batch) ends() bool { return b.End || b.Failure != nil }

// end returns the error that ends the stream; it is io.EOF without a failure.
func (b *batch) end() error {
	if b.Failure != nil {
		return decodeFailure(b.Failure)
	}
	return io.EOF
}

// check returns an error if a chunk index would overflow.
func (b *batch) check() error {
	if b.First > math.MaxInt-len(b.Texts) {
		return fmt.Errorf("first index %d is too large", b.First)
	}
	return nil
}

// chunk returns chunk i of the batch.
func (b *batch) chunk(i int, job connector.Job) connector.Chunk {
	attempt, model := job.Attempt(), job.Model()
	if b.Origin != nil {
		attempt, model = string(b.Origin.Attempt), decodeModel(b.Origin.Model)
	}
	last := b.Last && i == len(b.Texts)-1
	return connector.NewChunk(attempt, model, b.First+i, string(b.Texts[i]), last)
}

// codec is the encoding of all messages. It rejects larger messages than
// maxBytes.
type codec struct{ maxBytes int }

// errUnsent is the error of a message that was not written to the connection.
var errUnsent = eris.New("message cannot be sent")

func requestTooLarge(err error) error {
	return classifier.NewTooLarge("request exceeds the message size", classifier.Cause(err))
}

func responseTooLarge(err error) error {
	return classifier.NewTooLarge("answer exceeds the message size", classifier.Cause(err), classifier.MayHaveRun())
}

// replaceable is a response that can be replaced by a failure if it exceeds the
// maximum message size.
type replaceable interface {
	replace(d *failureDocument) drpc.Message
}

// Marshal implements drpc.Encoding.
func (c codec) Marshal(msg drpc.Message) ([]byte, error) {
	data, err := c.marshal(msg)
	if err == nil {
		return data, nil
	}
	if r, ok := msg.(replaceable); ok {
		return c.marshal(r.replace(encodeFailure(responseTooLarge(err))))
	}
	return nil, fmt.Errorf("%w: %w", errUnsent, err)
}

func (c codec) marshal(msg drpc.Message) ([]byte, error) {
	data, err := encoder.DRPC{}.Marshal(msg)
	if err == nil && len(data) > c.maxBytes {
		err = fmt.Errorf("message of %d bytes exceeds the maximum of %d: %w", len(data), c.maxBytes, encoder.ErrTooLarge)
	}
	return data, err
}

// Unmarshal implements drpc.Encoding.
func (c codec) Unmarshal(buf []byte, msg drpc.Message) error {
	return encoder.DRPC{}.Unmarshal(buf, msg)
}
