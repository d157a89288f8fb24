package server

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/dragonflyford/dragonflyford/classifier"
	"github.com/dragonflyford/dragonflyford/logger"
	"github.com/dragonflyford/dragonflyford/receiver"
	"github.com/dragonflyford/dragonflyford/recorder"
)

// Headers of calls and answers.
const (
	headerRequestID  = "X-Request-Id"
	headerOutcome    = "X-Outcome"
	headerAdapter    = "X-Adapter"
	headerVersion    = "X-Version"
	headerEpoch      = "X-Bundle-Epoch"
	headerPriority   = "X-Priority"
	headerTimeout    = "X-Timeout-Ms"
	headerKey        = "Idempotency-Key"
	headerKeyAttempt = "Idempotency-Attempt"
	headerReplayed   = "Idempotent-Replayed"
	headerLastEvent  = "Last-Event-ID"
	headerRetryAfter = "Retry-After"
)

// maxTimeout bounds what a caller may write into the timeout header; the
// receiver has the limit of the settings.
const maxTimeout = 24 * time.Hour

// idKey is the context key of the request's id.
type idKey struct{}

func requestID(ctx context.Context) string {
	id, _ := ctx.Value(idKey{}).(string)
	return id
}

// exchange prepares every request: it fixes the request's id before anything can
// fail, sets the deadline, and keeps what the answer's headers need.
func (s *Server) exchange(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id, idErr := chooseID(r)
		ctx, _ := recorder.StartTrail(r.Context(), s.recorder, id)
		ctx = context.WithValue(ctx, idKey{}, id)
		timeout, timeoutErr := s.readTimeoutHeader(r)
		if timeout > 0 {
			var cancel context.CancelFunc
			ctx, cancel = context.WithTimeout(ctx, timeout)
			defer cancel()
		}
		r = r.WithContext(ctx)
		out := &response{ResponseWriter: w, control: http.NewResponseController(w), timeout: s.writeTimeout}
		out.Header().Set(headerRequestID, id)
		if s.draining.Load() {
			out.Header().Set("Connection", "close")
		}
		defer s.recovered(out, r)
		if err := errors.Join(idErr, timeoutErr, s.checkHeader(r)); err != nil {
			s.writeFault(out, r, err)
			return
		}
		next.ServeHTTP(out, r)
	})
}

func chooseID(r *http.Request) (string, error) {
	given := r.Header.Get(headerRequestID)
	if given == "" {
		return receiver.NewID(), nil
	}
	if err := receiver.CheckID(given); err != nil {
		return receiver.NewID(), err
	}
	return given, nil
}

// readTimeoutHeader returns how long the caller waits; 0 if nothing bounds it.
func (s *Server) readTimeoutHeader(r *http.Request) (time.Duration, error) {
	given := r.Header.Get(headerTimeout)
	if given == "" {
		return s.timeout, nil
	}
	ms, err := strconv.ParseInt(given, 10, 64)
	if err != nil || ms < 1 || ms > maxTimeout.Milliseconds() {
		return s.timeout, classifier.NewInvalid(
			fmt.Sprintf("%s is %.40q; allowed is 1 to %d", headerTimeout, given, maxTimeout.Milliseconds()))
	}
	return time.Duration(ms) * time.Millisecond, nil
}

func (s *Server) checkHeader(r *http.Request) error {
	size := len(r.RequestURI)
	for name, values := range r.Header {
		for _, v := range values {
			size += len(name) + len(v)
		}
	}
	if size > s.maxHeader {
		return classifier.NewTooLarge(fmt.Sprintf("headers have %d bytes; allowed are %d", size, s.maxHeader))
	}
	return nil
}

// recovered answers a request whose handler panicked. If the answer has begun,
// the connection is cut, so that the caller does not take it for complete.
func (s *Server) recovered(w *response, r *http.Request) {
	cause := recover()
	if cause == nil {
		return
	}
	err := fmt.Errorf("panic: %v", cause)
	s.log.Error("handler-panicked", logger.Request(requestID(r.Context())), logger.Err(err))
	if w.begun {
		panic(http.ErrAbortHandler)
	}
	s.writeFault(w, r, classifier.NewUncertain("internal error", classifier.Cause(err)))
}

// stamp sets the headers that every answer carries.
func stamp(w http.ResponseWriter, r *http.Request, outcome classifier.Outcome) {
	h := w.Header()
	h.Set(headerOutcome, outcome.String())
	trail := recorder.From(r.Context())
	if epoch := trail.Epoch(); epoch > 0 {
		h.Set(headerEpoch, strconv.FormatUint(epoch, 10))
	}
	if m, ok := trail.Model(); ok {
		h.Set(headerAdapter, m.Adapter())
		h.Set(headerVersion, m.Version())
	}
}

// response bounds every write to the caller by itself.
type response struct {
	http.ResponseWriter
	control *http.ResponseController
	timeout time.Duration
	begun   bool
}

// Unwrap lets http.ResponseController reach the connection.
func (w *response) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// WriteHeader begins the answer.
func (w *response) WriteHeader(status int) {
	w.begun = true
	w.extend()
	w.ResponseWriter.WriteHeader(status)
}

// Write writes a part of the body.
func (w *response) Write(p []byte) (int, error) {
	w.begun = true
	w.extend()
	return w.ResponseWriter.Write(p)
}

func (w *response) extend() {
	if w.timeout > 0 {
		// Test recorders have no deadline; a real connection that refuses one
		// fails at the write.
		_ = w.control.SetWriteDeadline(time.Now().Add(w.timeout))
	}
}
