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
	attempt, err := keyAttempt(r)
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

// splitService returns the service's name and the path below its root with its
// query, as they were sent.
func splitService(r *http.Request) (name, path string) {
	name, path, _ = strings.Cut(strings.TrimPrefix(r.URL.EscapedPath(), routeServices), "/")
	path = "/" + path
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	return name, path
}

// keyAttempt returns how often the caller has sent the key. An unreadable number
// is refused: taken for 1, it would allow the answer not-run for a call that an
// earlier attempt may have run.
func keyAttempt(r *http.Request) (int, error) {
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

// callOptions returns what all calls share. The priority of the header goes
// before that of the body.
func (s *Server) callOptions(r *http.Request, bodyPriority *int) ([]receiver.CallOption, error) {
	caller, err := s.caller(r)
	if err != nil {
		return nil, err
	}
	opts := []receiver.CallOption{receiver.WithRequestID(requestID(r.Context())), receiver.WithCaller(caller)}
	timeout, err := s.readTimeoutHeader(r)
	if err != nil {
		return nil, err
	}
	opts = append(opts, receiver.WithTimeout(timeout))
	priority, err := priorityOf(r, bodyPriority)
	if err != nil {
		return nil, err
	}
	return append(opts, receiver.WithPriority(priority)), nil
}

func priorityOf(r *http.Request, body *int) (int, error) {
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

// The statuses that an endpoint may answer with; net/http panics on others.
const (
	minStatus = 200
	maxStatus = 599
)

func (s *Server) writeReply(w http.ResponseWriter, r *http.Request, _ *receiver.Call, a *responder.Answer) {
	body, ok := a.Body().(*responder.ReplyBody)
	if !ok {
		s.writeFault(w, r, classifier.NewUncertain("the answer is not a reply"))
		return
	}
	reply := body.Reply()
	if reply.Status() < minStatus || reply.Status() > maxStatus {
		s.writeFault(w, r, classifier.NewUncertain(fmt.Sprintf("the endpoint answered with status %d", reply.Status())))
		return
	}
	stamp(w, r, a.Outcome())
	if body.Replayed() {
		w.Header().Set(headerReplayed, "true")
	}
	if reply.ContentType() != "" {
		w.Header().Set("Content-Type", reply.ContentType())
	}
	w.WriteHeader(reply.Status())
	_, _ = w.Write(reply.Body())
	s.note(r, a.Outcome(), nil)
}
