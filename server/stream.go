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

// writeWhole collects the tokens and answers once all have arrived, so that a
// caller never gets a part of an answer that looks complete.
func (s *Server) writeWhole(w http.ResponseWriter, r *http.Request, t *transcript, tokens connector.Stream) {
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
		t.add(chunk)
		text.WriteString(chunk.Text())
	}
	stamp(w, r, t.answer.Outcome())
	writeJSON(w, typeJSON, http.StatusOK, t.whole(text.String()))
	s.note(r, t.answer.Outcome(), nil)
}

// done is the data of the event that ends a complete stream.
const done = "[DONE]"

// writeStream sends every token as an event whose id is the index of the token.
// The headers are sent with the first token: a fault before it is an ordinary
// problem document, one after it is an event. The outcome in the headers holds
// when the stream ends with the done event.
func (s *Server) writeStream(w http.ResponseWriter, r *http.Request, t *transcript, tokens connector.Stream) {
	events := newEvents(w)
	for {
		chunk, err := tokens.Next(r.Context())
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			s.endStream(w, r, events, err)
			return
		}
		t.add(chunk)
		s.beginStream(w, r, t, events)
		if err := events.sendJSON(event{id: strconv.Itoa(chunk.Index())}, t.part(chunk)); err != nil {
			s.note(r, classifier.Unknown{}, err)
			return
		}
	}
	s.beginStream(w, r, t, events)
	s.note(r, t.answer.Outcome(), s.completeStream(t, events))
}

func (s *Server) completeStream(t *transcript, events *events) error {
	if t.generation.includeUsage {
		if err := events.sendJSON(event{}, t.total()); err != nil {
			return err
		}
	}
	return events.send(event{data: []byte(done)})
}

func (s *Server) beginStream(w http.ResponseWriter, r *http.Request, t *transcript, events *events) {
	if events.begun {
		return
	}
	events.begun = true
	stamp(w, r, t.answer.Outcome())
	h := w.Header()
	h.Set("Content-Type", typeEvents)
	h.Set("Cache-Control", "no-store")
	w.WriteHeader(http.StatusOK)
}

// endStream reports a fault in the place of the rest of the answer.
func (s *Server) endStream(w http.ResponseWriter, r *http.Request, events *events, err error) {
	if !events.begun {
		s.writeFault(w, r, err)
		return
	}
	p := describe(r, err)
	s.note(r, classifier.ParseOutcome(p.Outcome), err)
	// A caller that cannot be written to sees the broken connection.
	_ = events.sendJSON(event{name: "error"}, p)
}

// event is one server-sent event. The data must not hold line breaks.
type event struct {
	name string
	id   string
	data []byte
}

// events writes server-sent events.
type events struct {
	w       io.Writer
	control *http.ResponseController
	begun   bool
}

func newEvents(w http.ResponseWriter) *events {
	return &events{w: w, control: http.NewResponseController(w)}
}

func (e *events) sendJSON(ev event, doc any) error {
	data, err := json.Marshal(doc)
	if err != nil {
		return fmt.Errorf("encode event: %w", err)
	}
	ev.data = data
	return e.send(ev)
}

// send writes one event and passes it on at once.
func (e *events) send(ev event) error {
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
