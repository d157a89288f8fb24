package server

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"github.com/dragonflyford/dragonflyford/classifier"
	"github.com/dragonflyford/dragonflyford/receiver"
	"github.com/dragonflyford/dragonflyford/responder"
)

// form is how an answer is written: textForm or chatForm.
type form interface{ form() }

// textForm is the form of completions.
type textForm struct{}

// chatForm is the form of chats.
type chatForm struct{}

func (textForm) form() {}
func (chatForm) form() {}

// generation is a call for text with what its answer must look like.
type generation struct {
	call         *receiver.Call
	form         form
	model        string
	stream       bool
	includeUsage bool
	maxTokens    int
	next         int
}

func (s *Server) readCompletion(w http.ResponseWriter, r *http.Request) (*generation, error) {
	body, err := s.readBody(w, r)
	if err != nil {
		return nil, err
	}
	doc, err := decodeJSON[completionDocument](body)
	if err != nil {
		return nil, err
	}
	g, opts, err := s.readGeneration(r, &doc.generationDocument)
	if err != nil {
		return nil, err
	}
	g.form = textForm{}
	g.call = receiver.NewGeneration(g.model, string(doc.Prompt), g.maxTokens, g.next, opts...)
	return g, nil
}

func (s *Server) readChat(w http.ResponseWriter, r *http.Request) (*generation, error) {
	body, err := s.readBody(w, r)
	if err != nil {
		return nil, err
	}
	doc, err := decodeJSON[chatDocument](body)
	if err != nil {
		return nil, err
	}
	if doc.MaxCompletionTokens != nil {
		doc.MaxTokens = doc.MaxCompletionTokens
	}
	g, opts, err := s.readGeneration(r, &doc.generationDocument)
	if err != nil {
		return nil, err
	}
	messages := make([]receiver.Message, len(doc.Messages))
	for i, m := range doc.Messages {
		messages[i] = receiver.NewMessage(m.Role, string(m.Content))
	}
	g.form = chatForm{}
	g.call = receiver.NewChat(g.model, messages, g.maxTokens, g.next, opts...)
	return g, nil
}

// readGeneration reads what completions and chats have in common.
func (s *Server) readGeneration(r *http.Request, doc *generationDocument) (*generation, []receiver.CallOption, error) {
	if err := doc.check(); err != nil {
		return nil, nil, err
	}
	next, err := resumePosition(r, doc.Stream)
	if err != nil {
		return nil, nil, err
	}
	model, err := pinModel(r, doc.Model, next)
	if err != nil {
		return nil, nil, err
	}
	opts, err := s.callOptions(r, doc.Priority)
	if err != nil {
		return nil, nil, err
	}
	g := &generation{
		model:        model,
		stream:       doc.Stream,
		includeUsage: doc.StreamOptions != nil && doc.StreamOptions.IncludeUsage,
		maxTokens:    s.maxTokens,
		next:         next,
	}
	if doc.MaxTokens != nil {
		g.maxTokens = *doc.MaxTokens
	}
	return g, opts, nil
}

// resumePosition returns the index of the first token that the caller lacks. The
// caller must repeat its request id, which is part of the seed: with another one
// the rest would not belong to the tokens it has.
func resumePosition(r *http.Request, stream bool) (int, error) {
	given := r.Header.Get(headerLastEvent)
	if given == "" {
		return 0, nil
	}
	last, err := strconv.Atoi(given)
	switch {
	case err != nil || last < 0:
		return 0, classifier.NewInvalid(fmt.Sprintf("%s is %.40q; it must be the id of an event", headerLastEvent, given))
	case !stream:
		return 0, classifier.NewInvalid(headerLastEvent + " resumes streams only")
	case r.Header.Get(headerRequestID) == "":
		return 0, classifier.NewInvalid(headerLastEvent + " needs the " + headerRequestID + " of the first answer")
	}
	return last + 1, nil
}

// pinModel returns the adapter version of a resumed call. The bundle may have
// changed since the first answer; without the version that answered, the rest
// could come from another one.
func pinModel(r *http.Request, model string, next int) (string, error) {
	if next == 0 || strings.Contains(model, "@") {
		return model, nil
	}
	version := r.Header.Get(headerVersion)
	if version == "" {
		return "", classifier.NewInvalid(
			headerLastEvent + " needs the version in the model or the " + headerVersion + " of the first answer")
	}
	return model + "@" + version, nil
}

func (s *Server) generate(ctx context.Context, g *generation) (*responder.Answer, error) {
	return s.apply(ctx, g.call)
}

func (s *Server) writeGeneration(w http.ResponseWriter, r *http.Request, g *generation, a *responder.Answer) {
	body, ok := a.Body().(*responder.TokenBody)
	if !ok {
		s.writeFault(w, r, classifier.NewUncertain("the answer has no tokens"))
		return
	}
	// Closing cancels what is left of the job; there is nothing to do about an
	// error then.
	defer func() { _ = body.Stream().Close() }()
	t := newTranscript(g, a)
	if g.stream {
		s.writeStream(w, r, t, body.Stream())
		return
	}
	s.writeWhole(w, r, t, body.Stream())
}
