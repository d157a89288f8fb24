package server

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"github.com/dragonflyford/dragonflyford/classifier"
	"github.com/dragonflyford/dragonflyford/receiver"
	"github.com/dragonflyford/dragonflyford/responder"
)

func (s *Server) readService(w http.ResponseWriter, r *http.Request) (*receiver.Call, error) {
	opts, err := s.callOptions(r, nil)
	if err != nil {
		return nil, err
	}
	attempt, err := readKeyAttempt(r)
	if err != nil {
		return nil, err
	}
	body, err := s.readBody(w, r)
	if err != nil {
		return nil, err
	}
	name, path := splitService(r)
	return receiver.NewServiceCall(name, r.Method, path, body, r.Header.Get(headerKey), attempt, opts...), nil
}

// splitService returns the name of the service and the path below the service's
// root with its query. Both keep the escaping with which they were sent.
func splitService(r *http.Request) (name, path string) {
	name, path, _ = strings.Cut(strings.TrimPrefix(r.URL.EscapedPath(), routeServices), "/")
	path = "/" + path
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	return name, path
}

// readKeyAttempt returns how often the caller has sent the idempotency key. An
// invalid number is rejected: taken for 1, it would permit the outcome not-run
// for a call that an earlier attempt may have run.
func readKeyAttempt(r *http.Request) (int, error) {
	given := r.Header.Get(headerKeyAttempt)
	if given == "" {
		return 1, nil
	}
	n, err := strconv.Atoi(given)
	if err != nil || n < 1 {
		return 0, classifier.NewInvalid(fmt.Sprintf("%s is %.40q; it counts from 1", headerKeyAttempt, given))
	}
	return n, nil
}

// callOptions returns the options that all calls share. The priority of the
// header overrides that of the body.
func (s *Server) callOptions(r *http.Request, bodyPriority *int) ([]receiver.CallOption, error) {
	caller, err := s.callerOf(r)
	if err != nil {
		return nil, err
	}
	opts := []receiver.CallOption{receiver.WithRequestID(requestID(r.Context())), receiver.WithCaller(caller)}
	timeout, err := s.readTimeoutHeader(r)
	if err != nil {
		return nil, err
	}
	opts = append(opts, receiver.WithTimeout(timeout))
	priority, err := readPriority(r, bodyPriority)
	if err != nil {
		return nil, err
	}
	return append(opts, receiver.WithPriority(priority)), nil
}

func readPriority(r *http.Request, body *int) (int, error) {
	given := r.Header.Get(headerPriority)
	if given == "" {
		if body == nil {
			return receiver.MinPriority, nil
		}
		return *body, nil
	}
	priority, err := strconv.Atoi(given)
	if err != nil {
		return 0, classifier.NewInvalid(fmt.Sprintf("%s is %.40q; allowed is %d to %d",
			headerPriority, given, receiver.MinPriority, receiver.MaxPriority))
	}
	return priority, nil
}

// Range of statuses that an endpoint may answer with; net/http panics on
// invalid ones.
const (
	minStatus = 200
	maxStatus = 599
)

func (s *Server) writeReply(w http.ResponseWriter, r *http.Request, _ *receiver.Call, a *responder.Answer) {
	body, ok := a.Body().(*responder.ReplyBody)
	if !ok {
		s.writeFault(w, r, classifier.NewUncertain("the answer is not a reply of a service"))
		return
	}
	reply := body.Reply()
	if reply.Status() < minStatus || reply.Status() > maxStatus {
		s.writeFault(w, r, classifier.NewUncertain(fmt.Sprintf("the endpoint answered with status %d", reply.Status())))
		return
	}
	setAnswerHeaders(w, r, a.Outcome())
	if body.Replayed() {
		w.Header().Set(headerReplayed, "true")
	}
	if reply.ContentType() != "" {
		w.Header().Set("Content-Type", reply.ContentType())
	}
	w.WriteHeader(reply.Status())
	_, _ = w.Write(reply.Body())
	s.recordOutcome(r, a.Outcome(), nil)
}
