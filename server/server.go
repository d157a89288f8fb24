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
}

// New returns a server in front of a pipeline.
func New(p Pipeline, opts ...Option) *Server {
	s := &Server{pipeline: p, options: defaults()}
	for _, opt := range opts {
		opt(&s.options)
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
	r.Handle(routeCompletions, s.limited(handle(s, s.readCompletion, s.generate, s.writeGeneration))).Methods(http.MethodPost)
	r.Handle(routeChat, s.limited(handle(s, s.readChat, s.generate, s.writeGeneration))).Methods(http.MethodPost)
	r.PathPrefix(routeServices).Handler(s.limited(handle(s, s.readService, s.apply, s.writeReply)))
	return s.exchange(r)
}

// router returns a router with the routes that every listener has. Paths are
// matched as they were sent, because a cleaned path is answered with a redirect
// that clients do not follow with a body.
func (s *Server) router() *mux.Router {
	r := mux.NewRouter().UseEncodedPath().SkipClean(true)
	r.NotFoundHandler = http.HandlerFunc(s.routeUnknown)
	r.MethodNotAllowedHandler = http.HandlerFunc(s.methodUnknown)
	r.HandleFunc(routeHealth, s.healthy).Methods(http.MethodGet, http.MethodHead)
	r.HandleFunc(routeReady, s.ready).Methods(http.MethodGet, http.MethodHead)
	if s.metrics != nil {
		r.Handle(routeMetrics, s.metrics).Methods(http.MethodGet)
	}
	return r
}

// retryWhenFull is how long a caller should wait when the node has too many
// requests open.
const retryWhenFull = time.Second

// limited bounds the number of open requests, including those whose body is
// still being read.
func (s *Server) limited(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer s.inFlight.Add(-1)
		if n := s.inFlight.Add(1); s.concurrency > 0 && n > int64(s.concurrency) {
			s.writeRefusal(w, r, classifier.NewOverloaded("the node has too many open requests", classifier.RetryAfter(retryWhenFull)))
			return
		}
		next.ServeHTTP(w, r)
	})
}

// InFlight returns how many requests for work are open.
func (s *Server) InFlight() int { return int(s.inFlight.Load()) }

// apply runs the pipeline and notes how it ended.
func (s *Server) apply(ctx context.Context, call *receiver.Call) (*responder.Answer, error) {
	answer, err := s.pipeline.Apply(ctx, call)
	if err != nil {
		return nil, err
	}
	recorder.From(ctx).Note(recorder.StageServer, "answering", "")
	return answer, nil
}

// note records the end of an exchange.
func (s *Server) note(r *http.Request, outcome classifier.Outcome, err error) {
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
