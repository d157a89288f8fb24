package server

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/dragonflyford/dragonflyford/classifier"
)

const (
	typeJSON    = "application/json"
	typeProblem = "application/problem+json"
	typeEvents  = "text/event-stream"
)

// readBody reads a request body of at most maxBody bytes. The read deadline is
// removed once the body is complete, because net/http then keeps reading from
// the connection to detect a disconnect while the answer is produced. After a
// failure the deadline stays, because net/http reads the rest of the body
// before it sends the answer.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	control := http.NewResponseController(w)
	if s.readTimeout > 0 {
		_ = control.SetReadDeadline(time.Now().Add(s.readTimeout))
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, s.maxBody))
	if err == nil {
		_ = control.SetReadDeadline(time.Time{})
		return body, nil
	}
	w.Header().Set("Connection", "close")
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(err, errNoBodyMemory):
		return nil, classifier.NewOverloaded("the node has no memory for the body", classifier.RetryAfter(overloadRetryAfter))
	case errors.As(err, &tooLarge):
		return nil, classifier.NewTooLarge(fmt.Sprintf("the body is larger than %d bytes", s.maxBody))
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, classifier.NewExpired("the body did not arrive in time", classifier.Cause(err))
	case r.Context().Err() != nil:
		return nil, classifier.NewCanceled("the caller disconnected while sending the body", classifier.Cause(err))
	default:
		return nil, classifier.NewInvalid("the body cannot be read", classifier.Cause(err))
	}
}

// decodeJSON decodes a body that holds one JSON value.
func decodeJSON[T any](body []byte) (T, error) {
	var doc T
	if err := json.Unmarshal(body, &doc); err != nil {
		return doc, classifier.NewInvalid("the body is not a valid request: "+describeJSON(err), classifier.Cause(err))
	}
	return doc, nil
}

func describeJSON(err error) string {
	var syntax *json.SyntaxError
	var wrongType *json.UnmarshalTypeError
	switch {
	case errors.As(err, &syntax):
		return fmt.Sprintf("%v at byte %d", syntax, syntax.Offset)
	case errors.As(err, &wrongType):
		// The name of the embedded document is not part of the API.
		field := strings.TrimPrefix(wrongType.Field, "generationDocument.")
		return fmt.Sprintf("field %q holds a %s at byte %d", field, wrongType.Value, wrongType.Offset)
	default:
		return err.Error()
	}
}

// writeJSON writes doc as the answer. A write error is ignored: it means that
// the connection to the caller is broken.
func writeJSON[T any](w http.ResponseWriter, contentType string, status int, doc T) {
	w.Header().Set("Content-Type", contentType)
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(doc)
}
