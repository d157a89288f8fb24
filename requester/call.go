package requester

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/dragonflyford/dragonflyford/classifier"
)

// Call is one call of a plain service.
type Call struct {
	service string
	method  string
	path    string
	key     string
	body    []byte
}

// NewCall returns a call. The key is the idempotency key, or "" for calls that
// are idempotent.
func NewCall(service, method, path, key string, body []byte) Call {
	return Call{service: service, method: method, path: path, key: key, body: body}
}

// Key returns the idempotency key.
func (c Call) Key() string { return c.key }

// Reply is the result of a call.
type Reply struct {
	outcome  classifier.Outcome
	outcomes []classifier.Outcome
	status   int
	body     []byte
	problem  *Problem
	timing   Timing
}

// Outcome returns the combined outcome of all attempts: Done if the last one
// was, NotRun if all were NotRun, and Unknown otherwise. NotRun covers only its
// own attempt; an earlier one without a response may still run.
func (r *Reply) Outcome() classifier.Outcome { return r.outcome }

// Outcomes returns the outcomes of all attempts in order.
func (r *Reply) Outcomes() []classifier.Outcome { return r.outcomes }

// Status returns the HTTP status.
func (r *Reply) Status() int { return r.status }

// Body returns the body of the response.
func (r *Reply) Body() []byte { return r.body }

// Problem returns the reason why the call failed, or nil.
func (r *Reply) Problem() *Problem { return r.problem }

// Timing returns when the response arrived.
func (r *Reply) Timing() Timing { return r.timing }

// Call sends a call until it is done, finally refused, or out of attempts.
// Every attempt has the same key.
func (r *Requester) Call(ctx context.Context, c Call) *Reply {
	reply := &Reply{outcome: classifier.NotRun{}, timing: Timing{started: time.Now()}}
	for n := range r.attempts {
		a := r.callOnce(ctx, c, n, reply)
		reply.outcomes = append(reply.outcomes, a.outcome)
		reply.outcome, reply.problem = overallOutcome(reply.outcomes), a.problem
		if !a.retryable() || n == r.attempts-1 {
			break
		}
		if err := r.backOff(ctx, n, a.problem); err != nil {
			break
		}
	}
	reply.timing.ended = time.Now()
	return reply
}

func overallOutcome(outcomes []classifier.Outcome) classifier.Outcome {
	last := outcomes[len(outcomes)-1]
	if last == (classifier.NotRun{}) && slices.Contains(outcomes, classifier.Outcome(classifier.Unknown{})) {
		return classifier.Unknown{}
	}
	return last
}

func (r *Requester) callOnce(ctx context.Context, c Call, n int, reply *Reply) attempt {
	address, err := r.address(ctx, n)
	if err != nil {
		return attempt{outcome: classifier.NotRun{}, problem: connectionProblem(err)}
	}
	path, query, _ := strings.Cut(c.path, "?")
	u := url.URL{Scheme: "http", Host: address, Path: "/v1/services/" + c.service + path, RawQuery: query}
	req, err := http.NewRequestWithContext(ctx, c.method, u.String(), bytes.NewReader(c.body))
	if err != nil {
		return attempt{outcome: classifier.NotRun{}, problem: connectionProblem(fmt.Errorf("create request: %w", err))}
	}
	if c.key != "" {
		req.Header.Set("Idempotency-Key", c.key)
		req.Header.Set("Idempotency-Attempt", strconv.Itoa(n+1))
		disableReplay(req, c.body)
	}
	resp, err := r.do(req, "")
	if err != nil {
		return attempt{outcome: classifier.Unknown{}, problem: connectionProblem(err)}
	}
	defer func() { _ = resp.Body.Close() }()
	reply.status = resp.StatusCode
	outcome := classifier.ParseOutcome(resp.Header.Get("X-Outcome"))
	if _, done := outcome.(classifier.Done); !done {
		return attempt{outcome: outcome, problem: readProblem(resp)}
	}
	reply.body, err = io.ReadAll(resp.Body)
	if err != nil {
		return attempt{outcome: classifier.Unknown{}, problem: connectionProblem(fmt.Errorf("read response: %w", err))}
	}
	return attempt{outcome: outcome}
}

// disableReplay prevents http.Transport from resending a request by itself,
// which it does with requests that have an Idempotency-Key when a connection
// breaks. The resent request would have the number of the first attempt, so
// that a node could respond with not-run although the first one ran.
func disableReplay(req *http.Request, body []byte) {
	req.Body = io.NopCloser(bytes.NewReader(body)) // not NoBody, which is always replayed
	req.GetBody = nil
}
