package server

import (
	"context"
	"net/http"
	"net/url"
	"time"

	"github.com/gorilla/mux"

	"github.com/dragonflyford/dragonflyford/classifier"
	"github.com/dragonflyford/dragonflyford/logger"
	"github.com/dragonflyford/dragonflyford/recorder"
)

// Routes of operators.
const (
	routeStatus  = "/operator/status"
	routeExplain = "/operator/explain/{request}"
	routeDrain   = "/operator/drain"
)

// OperatorHandler returns the routes for operators. It is served on a separate
// address; the handler for callers has none of these routes.
func (s *Server) OperatorHandler() http.Handler {
	r := s.router()
	restricted := s.requireOperatorKey
	r.Handle(routeStatus, restricted(handle(s, readEmpty, s.describeNode, writeDocument[struct{}, StatusDocument]))).Methods(http.MethodGet)
	r.Handle(routeExplain, restricted(handle(s, readExplain, s.explain, writeDocument[string, explainDocument]))).Methods(http.MethodGet)
	r.Handle(routeDrain, restricted(handle(s, readEmpty, s.drain, writeDocument[struct{}, healthDocument]))).Methods(http.MethodPost)
	return s.withRequestContext(r)
}

// StatusDocument describes a node for operators.
type StatusDocument struct {
	Node       string `json:"node"`
	Region     string `json:"region"`
	DataCentre string `json:"data_centre"`
	Version    string `json:"bundle_version,omitempty"`
	Epoch      uint64 `json:"epoch"`
	// Prepared is the epoch of a bundle that may come into force, or 0.
	Prepared uint64 `json:"prepared_epoch,omitempty"`
	// UpToDate reports whether the bundle is known to be the one in force.
	UpToDate bool `json:"informed"`
	Ready    bool `json:"ready"`
	Draining bool `json:"draining"`
	Running  int  `json:"running"`
	Waiting  int  `json:"waiting"`
	// Violations counts violated invariants.
	Violations int64                  `json:"violations"`
	Engines    []EngineStatusDocument `json:"engines,omitempty"`
}

// EngineStatusDocument describes an engine that the node owns.
type EngineStatusDocument struct {
	Name string `json:"name"`
	// Fence is the fencing token of the lease on the engine.
	Fence    uint64   `json:"fence"`
	Slots    int      `json:"slots"`
	Batch    int      `json:"batch"`
	Resident []string `json:"resident,omitempty"`
	// Loading lists adapter versions that are being loaded.
	Loading []string `json:"loading,omitempty"`
	Running int      `json:"running"`
	Queued  int      `json:"queued"`
}

func readEmpty(http.ResponseWriter, *http.Request) (struct{}, error) { return struct{}{}, nil }

func (s *Server) describeNode(context.Context, struct{}) (StatusDocument, error) {
	if s.status == nil {
		return StatusDocument{}, classifier.NewUnavailable("the node status is not available")
	}
	return s.status.Status(), nil
}

// explainDocument lists the decisions about a request.
type explainDocument struct {
	Request   string             `json:"request_id"`
	Decisions []decisionDocument `json:"decisions"`
}

type decisionDocument struct {
	Time     time.Time `json:"time"`
	Stage    string    `json:"stage"`
	Decision string    `json:"decision"`
	Reason   string    `json:"reason,omitempty"`
}

func readExplain(_ http.ResponseWriter, r *http.Request) (string, error) {
	id, err := url.PathUnescape(mux.Vars(r)["request"])
	if err != nil {
		return "", classifier.NewInvalid("the request id is not escaped correctly", classifier.Cause(err))
	}
	return id, nil
}

func (s *Server) explain(_ context.Context, id string) (explainDocument, error) {
	if s.explainer == nil {
		return explainDocument{}, classifier.NewUnavailable("the node does not record decisions")
	}
	decisions := s.explainer.Explain(id)
	if len(decisions) == 0 {
		return explainDocument{}, classifier.NewNotOffered("no decision about the request is recorded on this node")
	}
	return explainDocument{Request: id, Decisions: newDecisions(decisions)}, nil
}

func newDecisions(decisions []*recorder.Decision) []decisionDocument {
	docs := make([]decisionDocument, len(decisions))
	for i, d := range decisions {
		docs[i] = decisionDocument{
			Time:     d.At().UTC(),
			Stage:    string(d.Stage()),
			Decision: d.Decision(),
			Reason:   d.Reason(),
		}
	}
	return docs
}

func (s *Server) drain(ctx context.Context, _ struct{}) (healthDocument, error) {
	if s.drainer == nil {
		return healthDocument{}, classifier.NewUnavailable("the node does not support draining by operators")
	}
	if err := s.drainer.Drain(ctx); err != nil {
		return healthDocument{}, classifier.NewUnavailable("the drain could not be started", classifier.Cause(err))
	}
	s.log.Info("drain-requested", logger.Request(requestID(ctx)))
	return healthDocument{Status: "draining"}, nil
}

func writeDocument[In, Out any](w http.ResponseWriter, r *http.Request, _ In, doc Out) {
	setAnswerHeaders(w, r, classifier.Done{})
	writeJSON(w, typeJSON, http.StatusOK, doc)
}
