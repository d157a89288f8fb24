package server

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"

	"github.com/dragonflyford/dragonflyford/chainer"
	"github.com/dragonflyford/dragonflyford/classifier"
	"github.com/dragonflyford/dragonflyford/logger"
	"github.com/dragonflyford/dragonflyford/meter"
	"github.com/dragonflyford/dragonflyford/receiver"
	"github.com/dragonflyford/dragonflyford/recorder"
	"github.com/dragonflyford/dragonflyford/reserver"
	"github.com/dragonflyford/dragonflyford/responder"
)

// Pipeline is the request pipeline behind the server.
type Pipeline = chainer.Filter[*receiver.Call, *responder.Answer]

// Server translates between HTTP and the request pipeline.
type Server struct {
	pipeline Pipeline
	options

	inFlight atomic.Int64
	draining atomic.Bool
	answers  *meter.Counters
	bodies   *reserver.Reserver // nil without a limit
}

// New returns a server in front of a pipeline.
func New(p Pipeline, opts ...Option) *Server {
	s := &Server{pipeline: p, options: defaults()}
	for _, opt := range opts {
		opt(&s.options)
	}
	if s.bodyMemory > 0 {
		s.bodies = reserver.New(s.bodyMemory, s.bodyMemory/reservedPart, smallBody)
	}
	s.answers = meter.NewCounters(s.scope, "answers", "outcome",
		classifier.Done{}.String(), classifier.NotRun{}.String(), classifier.Unknown{}.String())
	return s
}

// Routes of callers.
const (
	routeEntries     = "/v1/entries"
	routeCompletions = "/v1/completions"
	routeChat        = "/v1/chat/completions"
	routeServices    = "/v1/services/"
	routeHealth      = "/healthz"
	routeReady       = "/readyz"
	routeMetrics     = "/metrics"
)

// Handler returns the routes for callers.
func (s *Server) Handler() http.Handler {
	r := s.router()
	r.Handle(routeEntries, handle(s, readEntriesQuery, s.findEntries, s.writeEntries)).Methods(http.MethodGet)
	r.Handle(routeCompletions, s.limitOpenRequests(handle(s, s.readCompletion, s.generate, s.writeGeneration))).Methods(http.MethodPost)
	r.Handle(routeChat, s.limitOpenRequests(handle(s, s.readChat, s.generate, s.writeGeneration))).Methods(http.MethodPost)
	r.PathPrefix(routeServices).Handler(s.limitOpenRequests(handle(s, s.readService, s.apply, s.writeReply)))
	return s.withRequestContext(r)
}

// router returns a router with the routes of every listener. Paths are matched
// as they were sent: mux answers a request whose path it cleans with a
// redirect, and clients do not follow a redirect with a body.
func (s *Server) router() *mux.Router {
	r := mux.NewRouter().UseEncodedPath().SkipClean(true)
	r.NotFoundHandler = http.HandlerFunc(s.serveUnknownRoute)
	r.MethodNotAllowedHandler = http.HandlerFunc(s.serveUnknownMethod)
	r.HandleFunc(routeHealth, s.serveHealth).Methods(http.MethodGet, http.MethodHead)
	r.HandleFunc(routeReady, s.serveReady).Methods(http.MethodGet, http.MethodHead)
	if s.metrics != nil {
		r.Handle(routeMetrics, s.metrics).Methods(http.MethodGet)
	}
	return r
}

// overloadRetryAfter is how long callers should wait before a retry when the
// node has too many open requests.
const overloadRetryAfter = time.Second

// limitOpenRequests limits the number of open requests, including those whose
// body is still being read.
func (s *Server) limitOpenRequests(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer s.inFlight.Add(-1)
		if n := s.inFlight.Add(1); s.maxOpenRequests > 0 && n > int64(s.maxOpenRequests) {
			s.writeRefusal(w, r, classifier.NewOverloaded("the node has too many open requests", classifier.RetryAfter(overloadRetryAfter)))
			return
		}
		if s.bodies != nil {
			body := &chargedBody{ReadCloser: r.Body, share: s.bodies.NewShare()}
			defer body.share.Release()
			r.Body = body
		}
		next.ServeHTTP(w, r)
	})
}

// InFlight returns the number of open calls.
func (s *Server) InFlight() int { return int(s.inFlight.Load()) }

// apply runs the pipeline and records that it returned an answer.
func (s *Server) apply(ctx context.Context, call *receiver.Call) (*responder.Answer, error) {
	answer, err := s.pipeline.Apply(ctx, call)
	if err != nil {
		return nil, err
	}
	recorder.From(ctx).Note(recorder.StageServer, "answering", "")
	return answer, nil
}

// recordOutcome counts an answer by its outcome, and records and logs an error.
func (s *Server) recordOutcome(r *http.Request, outcome classifier.Outcome, err error) {
	s.answers.Inc(outcome.String())
	if err == nil {
		return
	}
	recorder.From(r.Context()).Note(recorder.StageServer, "fault", err.Error())
	fields := []logger.Field{logger.Request(requestID(r.Context())), logger.Err(err)}
	if outcome == (classifier.Unknown{}) {
		s.log.Warn("request-uncertain", fields...)
		return
	}
	s.log.Debug("request-refused", fields...)
}
