package benchmarker

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/dragonflyford/dragonflyford/classifier"
	"github.com/dragonflyford/dragonflyford/requester"
)

// Expectation returns the token that a correct answer has at an index. Runs
// against the emulator check every answer with it.
type Expectation func(g requester.Generation, index int) string

// Benchmarker runs one workload.
type Benchmarker struct {
	doc       *Document
	expect    Expectation
	transport func() http.RoundTripper
	callers   []*requester.Requester
	collector *collector
	started   atomic.Int64
	ended     atomic.Int64
}

// Option sets an optional property of a Benchmarker.
type Option func(*Benchmarker)

// WithExpectation checks every token against e.
func WithExpectation(e Expectation) Option { return func(b *Benchmarker) { b.expect = e } }

// WithTransport makes each caller use an HTTP transport of its own.
func WithTransport(newTransport func() http.RoundTripper) Option {
	return func(b *Benchmarker) { b.transport = newTransport }
}

// New returns a benchmarker for a validated workload.
func New(doc *Document, opts ...Option) *Benchmarker {
	b := &Benchmarker{doc: doc, collector: newCollector(doc.Seed, doc.timeout())}
	for _, opt := range opts {
		opt(b)
	}
	for i := range doc.Callers {
		// Callers start at different addresses, as callers in different places do.
		entries := rotate(doc.Entries, i)
		b.callers = append(b.callers, requester.New(CallerName(i), entries, doc.Seed+uint64(i), b.callerOptions()...))
	}
	return b
}

func (b *Benchmarker) callerOptions() []requester.Option {
	if b.transport == nil {
		return nil
	}
	return []requester.Option{requester.WithTransport(b.transport())}
}

// CallerName returns the name of the i-th caller.
func CallerName(i int) string { return fmt.Sprintf("caller-%d", i) }

func rotate(list []string, n int) []string {
	n %= len(list)
	return append(append([]string(nil), list[n:]...), list[:n]...)
}

// Run starts every request at its scheduled time and waits for all answers. The
// end of ctx stops new requests and cancels those in flight, which then count
// as unknown.
func (b *Benchmarker) Run(ctx context.Context) *Result {
	var requests sync.WaitGroup
	start := time.Now()
	g := newGenerator(b.doc)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for i := 0; ; i++ {
		req, ok := g.next()
		if !ok || !waitUntil(ctx, timer, start.Add(req.At())) {
			break
		}
		b.started.Add(1)
		requests.Go(func() {
			defer b.ended.Add(1)
			b.send(ctx, i%len(b.callers), req, start.Add(req.At()))
		})
	}
	requests.Wait()
	for _, c := range b.callers {
		c.Close()
	}
	return b.collector.summary(time.Since(start))
}

func waitUntil(ctx context.Context, timer *time.Timer, t time.Time) bool {
	timer.Reset(time.Until(t))
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// Progress returns how many requests have started and ended.
func (b *Benchmarker) Progress() (started, ended int) {
	return int(b.started.Load()), int(b.ended.Load())
}

// Postings returns the outcomes that callers received for each non-idempotent
// call.
func (b *Benchmarker) Postings() []Posting {
	b.collector.mu.Lock()
	defer b.collector.mu.Unlock()
	return append([]Posting(nil), b.collector.postings...)
}

func (b *Benchmarker) send(ctx context.Context, caller int, req Request, due time.Time) {
	ctx, cancel := context.WithTimeout(ctx, b.doc.timeout())
	defer cancel()
	r := b.callers[caller]
	switch req := req.(type) {
	case GenerationRequest:
		result := r.Generate(ctx, req.Generation())
		b.collector.addGeneration(result, due, b.isWrong(req.Generation(), result))
	case PostingRequest:
		reply := r.Call(ctx, req.Call())
		b.collector.addReply(reply, due)
		b.collector.addPosting(Posting{caller: CallerName(caller), key: req.Call().Key(), outcomes: reply.Outcomes()})
	case LookupRequest:
		b.collector.addReply(r.Call(ctx, req.Call()), due)
	}
}

// isWrong reports whether an answer differs from the correct answer of the
// requested adapter version. Incomplete answers are checked as far as they go.
func (b *Benchmarker) isWrong(g requester.Generation, result *requester.GenerationResult) bool {
	_, done := result.Outcome().(classifier.Done)
	if done && len(result.Tokens()) != g.MaxTokens() {
		return true
	}
	if result.VersionChanged() || (len(result.Tokens()) > 0 && !namesModel(result, g.Model())) {
		return true
	}
	if b.expect == nil {
		return false
	}
	for i, token := range result.Tokens() {
		if token != b.expect(g, i) {
			return true
		}
	}
	return false
}

// namesModel reports whether an answer names the requested adapter, and the
// version if the request has one.
func namesModel(result *requester.GenerationResult, model string) bool {
	adapter, version, versioned := strings.Cut(model, "@")
	return result.Adapter() == adapter && (!versioned || result.Version() == version)
}
