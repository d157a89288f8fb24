package server

import (
	"context"
	"errors"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/dragonflyford/dragonflyford/classifier"
)

// problemPrefix is the prefix of every problem type. The types are stable,
// because callers may branch on them.
const problemPrefix = "urn:dragonflyford:problem:"

// statusCanceled is the status of a request whose caller disconnected. There is
// no standard code for this; 499 is the usual one and appears only in logs.
const statusCanceled = 499

// problemDocument is a problem document as defined by RFC 9457, extended by the
// outcome of the call.
type problemDocument struct {
	Type      string `json:"type"`
	Title     string `json:"title"`
	Status    int    `json:"status"`
	Detail    string `json:"detail,omitempty"`
	Outcome   string `json:"outcome"`
	RequestID string `json:"request_id,omitempty"`
	// RetryAfter is in whole seconds.
	RetryAfter int `json:"retry_after,omitempty"`
}

func newProblem(name, title string, status int) problemDocument {
	return problemDocument{Type: problemPrefix + name, Title: title, Status: status}
}

// problemOfType returns the type, title and status of a fault, which depend
// only on the type of the fault.
func problemOfType(f classifier.Fault) problemDocument {
	switch f.(type) {
	case *classifier.Invalid:
		return newProblem("invalid", "The call is malformed", http.StatusBadRequest)
	case *classifier.TooLarge:
		return newProblem("too-large", "The call is too large", http.StatusRequestEntityTooLarge)
	case *classifier.Unauthorized:
		return newProblem("unauthorized", "The call needs a valid key", http.StatusUnauthorized)
	case *classifier.NotOffered:
		return newProblem("not-offered", "The target is not offered", http.StatusNotFound)
	case *classifier.KeyMissing:
		return newProblem("key-missing", "The call needs an idempotency key", http.StatusBadRequest)
	case *classifier.KeyReused:
		return newProblem("key-reused", "The idempotency key came with another call", http.StatusUnprocessableEntity)
	case *classifier.InProgress:
		return newProblem("in-progress", "An earlier attempt has not ended", http.StatusConflict)
	case *classifier.Overloaded:
		return newProblem("overloaded", "A limit of the node is reached", http.StatusTooManyRequests)
	case *classifier.Unavailable:
		return newProblem("unavailable", "Something the call needs cannot be reached", http.StatusServiceUnavailable)
	case *classifier.Withheld:
		return newProblem("withheld", "The bundle in force is not known", http.StatusServiceUnavailable)
	case *classifier.Expired:
		return newProblem("expired", "The deadline passed", http.StatusGatewayTimeout)
	case *classifier.Canceled:
		return newProblem("canceled", "The caller went away", statusCanceled)
	case *classifier.Stopped:
		return newProblem("stopped", "The call crashed endpoints before", http.StatusUnprocessableEntity)
	default:
		return newProblem("uncertain", "The call may have run", http.StatusBadGateway)
	}
}

// describeError returns the problem document of an error.
func describeError(r *http.Request, err error) problemDocument {
	f := faultOf(r.Context(), err)
	p := problemOfType(f)
	p.Detail = f.Detail()
	p.Outcome = f.Outcome().String()
	p.RequestID = requestID(r.Context())
	p.RetryAfter = ceilSeconds(f.RetryAfter())
	return p
}

// faultOf classifies an error. If no stage has classified it and the context of
// the request has ended, the class is that of the context error, which is then
// the cause of a broken connection.
func faultOf(ctx context.Context, err error) classifier.Fault {
	var f classifier.Fault
	if errors.As(err, &f) {
		return f
	}
	if ended := ctx.Err(); ended != nil {
		return classifier.Of(errors.Join(ended, err))
	}
	return classifier.Of(err)
}

// ceilSeconds rounds up, because a caller that retries too early is refused
// again.
func ceilSeconds(d time.Duration) int { return int(math.Ceil(d.Seconds())) }

// writeRefusal answers a request that failed before the pipeline. If the caller
// repeats an idempotency key, the outcome is unknown instead of not-run,
// because an earlier attempt may have run the call.
func (s *Server) writeRefusal(w http.ResponseWriter, r *http.Request, err error) {
	if n, invalid := readKeyAttempt(r); r.Header.Get(headerKey) != "" && (invalid != nil || n > 1) {
		err = classifier.AsUnknown(classifier.Of(err))
	}
	s.writeFault(w, r, err)
}

// writeFault answers with a problem document.
func (s *Server) writeFault(w http.ResponseWriter, r *http.Request, err error) {
	s.writeProblem(w, r, describeError(r, err), err)
}

func (s *Server) writeProblem(w http.ResponseWriter, r *http.Request, p problemDocument, err error) {
	outcome := classifier.ParseOutcome(p.Outcome)
	setAnswerHeaders(w, r, outcome)
	h := w.Header()
	h.Set("Cache-Control", "no-store")
	if p.RetryAfter > 0 {
		h.Set(headerRetryAfter, strconv.Itoa(p.RetryAfter))
	}
	if p.Status == http.StatusUnauthorized {
		h.Set("WWW-Authenticate", "Bearer")
	}
	writeJSON(w, typeProblem, p.Status, p)
	s.recordOutcome(r, outcome, err)
}

func (s *Server) serveUnknownRoute(w http.ResponseWriter, r *http.Request) {
	err := classifier.NewNotOffered("no route " + strconv.Quote(r.URL.Path))
	s.writeFault(w, r, err)
}

func (s *Server) serveUnknownMethod(w http.ResponseWriter, r *http.Request) {
	err := classifier.NewInvalid("the route has no method " + strconv.Quote(r.Method))
	p := describeError(r, err)
	p.Type = problemPrefix + "method-not-allowed"
	p.Title = "The route has no such method"
	p.Status = http.StatusMethodNotAllowed
	s.writeProblem(w, r, p, err)
}
