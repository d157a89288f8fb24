package server

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/dragonflyford/dragonflyford/classifier"
	"github.com/dragonflyford/dragonflyford/connector"
)

// writeComplete answers once all tokens have arrived, so that a caller never
// takes a partial answer for a complete one.
func (s *Server) writeComplete(w http.ResponseWriter, r *http.Request, enc *answerEncoder, tokens connector.Stream) {
	var text strings.Builder
	for {
		chunk, err := tokens.Next(r.Context())
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			s.writeFault(w, r, err)
			return
		}
		enc.add(chunk)
		text.WriteString(chunk.Text())
	}
	setAnswerHeaders(w, r, enc.answer.Outcome())
	writeJSON(w, typeJSON, http.StatusOK, enc.complete(text.String()))
	s.recordOutcome(r, enc.answer.Outcome(), nil)
}

// doneEvent is the data of the event that ends a complete stream.
const doneEvent = "[DONE]"

// writeStream sends each token as an event whose id is the index of the token.
// The headers are sent with the first token: a fault before it is answered with
// a problem document, a later one with an error event. The outcome in the
// headers is valid if the stream ends with the done event.
func (s *Server) writeStream(w http.ResponseWriter, r *http.Request, enc *answerEncoder, tokens connector.Stream) {
	events := newEventWriter(w)
	for {
		chunk, err := tokens.Next(r.Context())
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			s.failStream(w, r, events, err)
			return
		}
		enc.add(chunk)
		s.startStream(w, r, enc, events)
		if err := events.sendJSON(event{id: strconv.Itoa(chunk.Index())}, enc.chunk(chunk)); err != nil {
			s.recordOutcome(r, classifier.Unknown{}, err)
			return
		}
	}
	s.startStream(w, r, enc, events)
	s.recordOutcome(r, enc.answer.Outcome(), s.finishStream(enc, events))
}

func (s *Server) finishStream(enc *answerEncoder, events *eventWriter) error {
	if enc.call.includeUsage {
		if err := events.sendJSON(event{}, enc.usageEvent()); err != nil {
			return err
		}
	}
	return events.send(event{data: []byte(doneEvent)})
}

func (s *Server) startStream(w http.ResponseWriter, r *http.Request, enc *answerEncoder, events *eventWriter) {
	if events.started {
		return
	}
	events.started = true
	setAnswerHeaders(w, r, enc.answer.Outcome())
	h := w.Header()
	h.Set("Content-Type", typeEvents)
	h.Set("Cache-Control", "no-store")
	w.WriteHeader(http.StatusOK)
}

// failStream reports a fault: as a problem document if nothing has been sent
// yet, and otherwise as an event that ends the stream.
func (s *Server) failStream(w http.ResponseWriter, r *http.Request, events *eventWriter, err error) {
	if !events.started {
		s.writeFault(w, r, err)
		return
	}
	p := describeError(r, err)
	s.recordOutcome(r, classifier.ParseOutcome(p.Outcome), err)
	// If this write fails too, the caller detects the broken connection.
	_ = events.sendJSON(event{name: "error"}, p)
}

// event is one server-sent event. The data must not contain line breaks.
type event struct {
	name string
	id   string
	data []byte
}

// eventWriter writes server-sent events.
type eventWriter struct {
	w       io.Writer
	control *http.ResponseController
	started bool
}

func newEventWriter(w http.ResponseWriter) *eventWriter {
	return &eventWriter{w: w, control: http.NewResponseController(w)}
}

func (e *eventWriter) sendJSON(ev event, doc any) error {
	data, err := json.Marshal(doc)
	if err != nil {
		return fmt.Errorf("encode event: %w", err)
	}
	ev.data = data
	return e.send(ev)
}

// send writes one event and flushes it.
func (e *eventWriter) send(ev event) error {
	var b []byte
	if ev.name != "" {
		b = append(append(b, "event: "...), ev.name...)
		b = append(b, '\n')
	}
	if ev.id != "" {
		b = append(append(b, "id: "...), ev.id...)
		b = append(b, '\n')
	}
	b = append(append(b, "data: "...), ev.data...)
	b = append(b, "\n\n"...)
	if _, err := e.w.Write(b); err != nil {
		return fmt.Errorf("write event: %w", err)
	}
	if err := e.control.Flush(); err != nil {
		return fmt.Errorf("flush event: %w", err)
	}
	return nil
}
