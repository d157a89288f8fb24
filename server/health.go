package server

import (
	"net/http"

	"github.com/dragonflyford/dragonflyford/classifier"
)

// healthDocument is the answer of the health routes.
type healthDocument struct {
	Status string `json:"status"`
}

func (s *Server) serveHealth(w http.ResponseWriter, r *http.Request) {
	setAnswerHeaders(w, r, classifier.Done{})
	writeJSON(w, typeJSON, http.StatusOK, healthDocument{Status: "ok"})
}

func (s *Server) serveReady(w http.ResponseWriter, r *http.Request) {
	if err := s.Ready(); err != nil {
		s.writeFault(w, r, err)
		return
	}
	setAnswerHeaders(w, r, classifier.Done{})
	writeJSON(w, typeJSON, http.StatusOK, healthDocument{Status: "ready"})
}

// Ready returns nil if the node accepts new requests, and the reason otherwise.
func (s *Server) Ready() error {
	if s.draining.Load() {
		return classifier.NewUnavailable("the node is draining")
	}
	if s.bundles != nil && s.bundles.Load().Current() == nil {
		return classifier.NewUnavailable("no bundle is in force yet")
	}
	return nil
}

// Drain marks the server as not ready and adds Connection: close to every
// answer. Calls are still answered.
func (s *Server) Drain() { s.draining.Store(true) }

// Draining reports whether the server is draining.
func (s *Server) Draining() bool { return s.draining.Load() }
