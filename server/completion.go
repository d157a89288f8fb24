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

// responseFormat is the API format of an answer: textFormat or chatFormat.
type responseFormat interface{ isResponseFormat() }

// textFormat is the format of /v1/completions.
type textFormat struct{}

// chatFormat is the format of /v1/chat/completions.
type chatFormat struct{}

func (textFormat) isResponseFormat() {}
func (chatFormat) isResponseFormat() {}

// generationCall is a call that generates text, with the requested format of
// its answer.
type generationCall struct {
	call         *receiver.Call
	format       responseFormat
	model        string
	stream       bool
	includeUsage bool
	maxTokens    int
	nextToken    int
}

func (s *Server) readCompletion(w http.ResponseWriter, r *http.Request) (*generationCall, error) {
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
	g.format = textFormat{}
	g.call = receiver.NewGeneration(g.model, string(doc.Prompt), g.maxTokens, g.nextToken, opts...)
	return g, nil
}

func (s *Server) readChat(w http.ResponseWriter, r *http.Request) (*generationCall, error) {
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
	g.format = chatFormat{}
	g.call = receiver.NewChat(g.model, messages, g.maxTokens, g.nextToken, opts...)
	return g, nil
}

// readGeneration reads the fields that completions and chats share.
func (s *Server) readGeneration(r *http.Request, doc *generationDocument) (*generationCall, []receiver.CallOption, error) {
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
	g := &generationCall{
		model:        model,
		stream:       doc.Stream,
		includeUsage: doc.StreamOptions != nil && doc.StreamOptions.IncludeUsage,
		maxTokens:    s.defaultTokens,
		nextToken:    next,
	}
	if doc.MaxTokens != nil {
		g.maxTokens = *doc.MaxTokens
	}
	return g, opts, nil
}

// resumePosition returns the index of the first token to send, which follows
// the last event that the caller received. The caller must repeat its request
// id, because the sampling seed depends on it: with another id, the remaining
// tokens would not continue those already received.
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

// pinModel adds the adapter version to the model name of a resumed call.
// Without the version that generated the first tokens, a bundle that changed in
// between could select another version for the rest.
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

func (s *Server) generate(ctx context.Context, g *generationCall) (*responder.Answer, error) {
	return s.apply(ctx, g.call)
}

func (s *Server) writeGeneration(w http.ResponseWriter, r *http.Request, g *generationCall, a *responder.Answer) {
	body, ok := a.Body().(*responder.TokenBody)
	if !ok {
		s.writeFault(w, r, classifier.NewUncertain("the answer is not a token stream"))
		return
	}
	// Close cancels the rest of the job. Its error is ignored, because the
	// answer has already ended.
	defer func() { _ = body.Stream().Close() }()
	enc := newAnswerEncoder(g, a)
	if g.stream {
		s.writeStream(w, r, enc, body.Stream())
		return
	}
	s.writeComplete(w, r, enc, body.Stream())
}
