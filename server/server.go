package server

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/gorilla/mux"

	"github.com/dragonflyford/dragonflyford/chainer"
	"github.com/dragonflyford/dragonflyford/classifier"
	"github.com/dragonflyford/dragonflyford/receiver"
	"github.com/dragonflyford/dragonflyford/responder"
)

// Pipeline is the request pipeline behind the server.
type Pipeline = chainer.Filter[*receiver.Call, *responder.Answer]

// Server translates between HTTP and the request pipeline.
type Server struct {
	pipeline Pipeline
	maxBody  int64
}

// New returns a server that reads bodies of up to maxBody bytes.
func New(p Pipeline, maxBody int64) *Server { return &Server{pipeline: p, maxBody: maxBody} }

// Handler returns the routes for callers.
func (s *Server) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/v1/completions", s.completions).Methods(http.MethodPost)
	r.PathPrefix("/v1/services/{service}/").HandlerFunc(s.service)
	return r
}

type completionRequest struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
}

func (s *Server) completions(w http.ResponseWriter, r *http.Request) {
	var body completionRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, s.maxBody)).Decode(&body); err != nil {
		writeFault(w, classifier.NewInvalid("the body is not a completion request", classifier.Cause(err)))
		return
	}
	call := receiver.NewGeneration(body.Model, body.Prompt, body.MaxTokens, 0,
		receiver.WithRequestID(r.Header.Get("X-Request-Id")), receiver.WithCaller(r.Header.Get("Authorization")))
	s.answer(w, r, call)
}

func (s *Server) service(w http.ResponseWriter, r *http.Request) {
	name := mux.Vars(r)["service"]
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, s.maxBody))
	if err != nil {
		writeFault(w, classifier.NewTooLarge("the body cannot be read", classifier.Cause(err)))
		return
	}
	path := strings.TrimPrefix(r.URL.RequestURI(), "/v1/services/"+name)
	call := receiver.NewServiceCall(name, r.Method, path, body, r.Header.Get("Idempotency-Key"), 1,
		receiver.WithRequestID(r.Header.Get("X-Request-Id")), receiver.WithCaller(r.Header.Get("Authorization")))
	s.answer(w, r, call)
}

func (s *Server) answer(w http.ResponseWriter, r *http.Request, call *receiver.Call) {
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	a, err := s.pipeline.Apply(ctx, call)
	if err != nil {
		writeFault(w, classifier.Of(err))
		return
	}
	h := w.Header()
	h.Set("X-Request-Id", a.RequestID())
	h.Set("X-Outcome", a.Outcome().String())
	h.Set("X-Adapter", a.Model().Adapter())
	h.Set("X-Version", a.Model().Version())
	h.Set("X-Bundle-Epoch", strconv.FormatUint(a.Epoch(), 10))
	switch b := a.Body().(type) {
	case *responder.TokenBody:
		writeTokens(ctx, w, b)
	case *responder.ReplyBody:
		h.Set("Content-Type", b.Reply().ContentType())
		w.WriteHeader(b.Reply().Status())
		_, _ = w.Write(b.Reply().Body())
	}
}

func writeTokens(ctx context.Context, w http.ResponseWriter, b *responder.TokenBody) {
	defer func() { _ = b.Stream().Close() }()
	var text strings.Builder
	for {
		chunk, err := b.Stream().Next(ctx)
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			writeFault(w, classifier.Of(err))
			return
		}
		text.WriteString(chunk.Text())
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"choices": []map[string]any{{"text": text.String()}}})
}

func writeFault(w http.ResponseWriter, f classifier.Fault) {
	w.Header().Set("Content-Type", "application/problem+json")
	w.Header().Set("X-Outcome", f.Outcome().String())
	status := http.StatusServiceUnavailable
	if f.RetryAfter() > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(f.RetryAfter().Seconds())))
	}
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(map[string]any{"title": fmt.Sprintf("%T", f), "detail": f.Detail()})
}
