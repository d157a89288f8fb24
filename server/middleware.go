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

// Headers of requests and answers.
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

// maxTimeoutHeader is the largest timeout that the header may carry. The
// receiver applies the configured limit.
const maxTimeoutHeader = 24 * time.Hour

// requestIDKey is the context key of the request's id.
type requestIDKey struct{}

func requestID(ctx context.Context) string {
	id, _ := ctx.Value(requestIDKey{}).(string)
	return id
}

// withRequestContext prepares every request: it chooses the request id before
// anything can fail, sets the deadline, and starts the trail from which the
// headers of the answer are set.
func (s *Server) withRequestContext(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id, idErr := readRequestID(r)
		ctx, _ := recorder.StartTrail(r.Context(), s.recorder, id)
		ctx = context.WithValue(ctx, requestIDKey{}, id)
		timeout, timeoutErr := s.readTimeoutHeader(r)
		if timeout > 0 {
			var cancel context.CancelFunc
			ctx, cancel = context.WithTimeout(ctx, timeout)
			defer cancel()
		}
		r = r.WithContext(ctx)
		out := &responseWriter{ResponseWriter: w, control: http.NewResponseController(w), timeout: s.writeTimeout}
		out.Header().Set(headerRequestID, id)
		if s.draining.Load() {
			out.Header().Set("Connection", "close")
		}
		defer s.recoverPanic(out, r)
		if err := errors.Join(idErr, timeoutErr, s.checkHeader(r)); err != nil {
			s.writeFault(out, r, err)
			return
		}
		next.ServeHTTP(out, r)
	})
}

// readRequestID returns the request id that the caller sent. A missing or
// invalid id is replaced by a new one.
func readRequestID(r *http.Request) (string, error) {
	given := r.Header.Get(headerRequestID)
	if given == "" {
		return receiver.NewID(), nil
	}
	if err := receiver.CheckID(given); err != nil {
		return receiver.NewID(), err
	}
	return given, nil
}

// readTimeoutHeader returns the timeout of the request, or the default if the
// header is missing or invalid; 0 means no timeout.
func (s *Server) readTimeoutHeader(r *http.Request) (time.Duration, error) {
	given := r.Header.Get(headerTimeout)
	if given == "" {
		return s.defaultTimeout, nil
	}
	ms, err := strconv.ParseInt(given, 10, 64)
	if err != nil || ms < 1 || ms > maxTimeoutHeader.Milliseconds() {
		return s.defaultTimeout, classifier.NewInvalid(
			fmt.Sprintf("%s is %.40q; allowed is 1 to %d", headerTimeout, given, maxTimeoutHeader.Milliseconds()))
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

// recoverPanic answers a request whose handler panicked. If a part of the
// answer has been sent, it aborts the connection, so that the caller does not
// take the answer for complete.
func (s *Server) recoverPanic(w *responseWriter, r *http.Request) {
	cause := recover()
	if cause == nil {
		return
	}
	err := fmt.Errorf("panic: %v", cause)
	s.log.Error("handler-panicked", logger.Request(requestID(r.Context())), logger.Err(err))
	if w.started {
		panic(http.ErrAbortHandler)
	}
	s.writeFault(w, r, classifier.NewUncertain("internal error", classifier.Cause(err)))
}

// setAnswerHeaders sets the headers that every answer carries.
func setAnswerHeaders(w http.ResponseWriter, r *http.Request, outcome classifier.Outcome) {
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

// responseWriter applies the write timeout to each write separately.
type responseWriter struct {
	http.ResponseWriter
	control *http.ResponseController
	timeout time.Duration
	started bool
}

// Unwrap lets http.ResponseController reach the connection.
func (w *responseWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// WriteHeader sends the status and the headers.
func (w *responseWriter) WriteHeader(status int) {
	w.started = true
	w.extendDeadline()
	w.ResponseWriter.WriteHeader(status)
}

// Write writes a part of the body.
func (w *responseWriter) Write(p []byte) (int, error) {
	w.started = true
	w.extendDeadline()
	return w.ResponseWriter.Write(p)
}

func (w *responseWriter) extendDeadline() {
	if w.timeout > 0 {
		// httptest.ResponseRecorder has no deadlines; a real connection that
		// rejects one fails at the write.
		_ = w.control.SetWriteDeadline(time.Now().Add(w.timeout))
	}
}
