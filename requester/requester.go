package requester

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/dragonflyford/dragonflyford/classifier"
	"github.com/dragonflyford/dragonflyford/sleeper"
	"github.com/dragonflyford/dragonflyford/transporter"
)

// Requester sends requests on behalf of one caller.
type Requester struct {
	directory *directory
	http      *http.Client
	caller    string
	attempts  int
	mu        sync.Mutex // guards rng
	rng       *rand.Rand
}

// Option sets an optional property of a Requester.
type Option func(*Requester)

// WithAttempts sets how often a request is sent at most. The default is 4.
func WithAttempts(n int) Option { return func(r *Requester) { r.attempts = n } }

// WithTransport sets the HTTP transport.
func WithTransport(t http.RoundTripper) Option {
	return func(r *Requester) { r.http.Transport = t }
}

const defaultAttempts = 4

// New returns a requester that starts with the given entry addresses. The seed
// determines the jitter between attempts.
func New(caller string, entries []string, seed uint64, opts ...Option) *Requester {
	client := &http.Client{Transport: transporter.NewTransport()}
	r := &Requester{
		directory: &directory{seeds: entries, http: client},
		http:      client,
		caller:    caller,
		attempts:  defaultAttempts,
		rng:       rand.New(rand.NewPCG(seed, seed)),
	}
	for _, opt := range opts {
		opt(r)
	}
	return r
}

// Close closes idle connections.
func (r *Requester) Close() { r.http.CloseIdleConnections() }

// Timing holds the arrival times of the parts of a response.
type Timing struct {
	started    time.Time
	firstToken time.Time
	ended      time.Time
	gaps       []time.Duration
}

// Started returns when the request was first sent.
func (t Timing) Started() time.Time { return t.started }

// FirstToken returns when the first token arrived; it is zero without tokens.
func (t Timing) FirstToken() time.Time { return t.firstToken }

// Ended returns when the response or the last failure arrived.
func (t Timing) Ended() time.Time { return t.ended }

// Gaps returns the times between tokens.
func (t Timing) Gaps() []time.Duration { return t.gaps }

// Problem is the reason why a request failed.
type Problem struct {
	kind       string
	detail     string
	status     int
	retryAfter time.Duration
}

// Kind returns the problem's type, or "connection" if no complete response
// arrived.
func (p *Problem) Kind() string { return p.kind }

// Detail returns the explanation.
func (p *Problem) Detail() string { return p.detail }

// Status returns the HTTP status, or 0 if no response arrived.
func (p *Problem) Status() int { return p.status }

func (p *Problem) Error() string {
	return fmt.Sprintf("%s (status %d): %s", p.kind, p.status, p.detail)
}

// kindConnection is the kind of a request without a complete response.
const kindConnection = "connection"

func connectionProblem(err error) *Problem {
	return &Problem{kind: kindConnection, detail: err.Error()}
}

// attempt is the result of one HTTP exchange.
type attempt struct {
	outcome classifier.Outcome
	problem *Problem
}

// retryable reports whether another attempt can succeed. The outcome Done and
// refusals without Retry-After are final.
func (a attempt) retryable() bool {
	switch a.outcome.(type) {
	case classifier.Done:
		return false
	case classifier.NotRun:
		return a.problem != nil && a.problem.retryAfter > 0
	default:
		return true
	}
}

// backOff waits before the next attempt: for the Retry-After of the response,
// else with exponential backoff. The jitter keeps callers from retrying at the
// same time.
func (r *Requester) backOff(ctx context.Context, n int, p *Problem) error {
	d := firstBackoff << n
	if p != nil && p.retryAfter > 0 {
		d = p.retryAfter
	}
	r.mu.Lock()
	d += time.Duration(r.rng.Int64N(int64(d)/2 + 1))
	r.mu.Unlock()
	if err := sleeper.Sleep(ctx, d); err != nil {
		return fmt.Errorf("wait before the next attempt: %w", err)
	}
	return nil
}

const firstBackoff = 50 * time.Millisecond

// address returns the entry address for the n-th attempt of a request.
func (r *Requester) address(ctx context.Context, n int) (string, error) {
	list := r.directory.addresses(ctx)
	if len(list) == 0 {
		return "", fmt.Errorf("no entry addresses")
	}
	return list[n%len(list)], nil
}

// do sends one HTTP request with the common headers.
func (r *Requester) do(req *http.Request, requestID string) (*http.Response, error) {
	req.Header.Set("Authorization", "Bearer "+r.caller)
	if requestID != "" {
		req.Header.Set("X-Request-Id", requestID)
	}
	if deadline, ok := req.Context().Deadline(); ok {
		ms := time.Until(deadline).Milliseconds()
		req.Header.Set("X-Timeout-Ms", fmt.Sprint(max(ms, 1)))
	}
	resp, err := r.http.Do(req)
	if err != nil {
		r.directory.expire()
		return nil, fmt.Errorf("send request: %w", err)
	}
	return resp, nil
}

// readProblem decodes the body of an error response.
func readProblem(resp *http.Response) *Problem {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxProblemBytes))
	if err != nil {
		return connectionProblem(err)
	}
	return parseProblem(resp.StatusCode, resp.Header.Get("Retry-After"), body)
}

const maxProblemBytes = 64 << 10
