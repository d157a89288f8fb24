package requester

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/dragonflyford/dragonflyford/classifier"
)

// Generation is a request for text.
type Generation struct {
	model     string
	prompt    string
	maxTokens int
	requestID string
	priority  int
}

// NewGeneration returns a request for text. The request id must be unique; it
// allows the stream to be resumed at any node.
func NewGeneration(model, prompt string, maxTokens int, requestID string, priority int) Generation {
	return Generation{model: model, prompt: prompt, maxTokens: maxTokens, requestID: requestID, priority: priority}
}

// Model returns the requested adapter version.
func (g Generation) Model() string { return g.model }

// Prompt returns the prompt.
func (g Generation) Prompt() string { return g.prompt }

// MaxTokens returns the requested length.
func (g Generation) MaxTokens() int { return g.maxTokens }

// RequestID returns the request's id.
func (g Generation) RequestID() string { return g.requestID }

// GenerationResult is the result of a generation.
type GenerationResult struct {
	outcome        classifier.Outcome
	tokens         []string
	adapter        string
	version        string
	epoch          string
	resumes        int
	versionChanged bool
	problem        *Problem
	timing         Timing
}

// Outcome returns Done if the text is complete.
func (t *GenerationResult) Outcome() classifier.Outcome { return t.outcome }

// Tokens returns the tokens in order.
func (t *GenerationResult) Tokens() []string { return t.tokens }

// Adapter returns the adapter that the response names as the source.
func (t *GenerationResult) Adapter() string { return t.adapter }

// Version returns the version that the response names as the source.
func (t *GenerationResult) Version() string { return t.version }

// Epoch returns the bundle epoch of the last response.
func (t *GenerationResult) Epoch() string { return t.epoch }

// Resumes returns how often the stream was resumed.
func (t *GenerationResult) Resumes() int { return t.resumes }

// VersionChanged reports whether a resumed stream came from another adapter
// version than the tokens before it.
func (t *GenerationResult) VersionChanged() bool { return t.versionChanged }

// Problem returns the reason why the text is not complete, or nil.
func (t *GenerationResult) Problem() *Problem { return t.problem }

// Timing returns when tokens arrived.
func (t *GenerationResult) Timing() Timing { return t.timing }

// Generate streams a generation and resumes it when a connection is lost.
func (r *Requester) Generate(ctx context.Context, g Generation) *GenerationResult {
	t := &GenerationResult{outcome: classifier.NotRun{}, timing: Timing{started: time.Now()}}
	for n := range r.attempts {
		had := len(t.tokens)
		a := r.generateOnce(ctx, g, n, t)
		t.outcome, t.problem = a.outcome, a.problem
		if !a.retryable() || n == r.attempts-1 {
			break
		}
		if err := r.backOff(ctx, n, a.problem); err != nil {
			break
		}
		if len(t.tokens) > had {
			t.resumes++
		}
	}
	t.timing.ended = time.Now()
	return t
}

type completionDocument struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
	Priority  int    `json:"priority,omitempty"`
}

func (r *Requester) generateOnce(ctx context.Context, g Generation, n int, t *GenerationResult) attempt {
	address, err := r.address(ctx, n)
	if err != nil {
		return attempt{outcome: classifier.NotRun{}, problem: connectionProblem(err)}
	}
	body, err := json.Marshal(completionDocument{
		Model:     g.model,
		Prompt:    g.prompt,
		MaxTokens: g.maxTokens,
		Stream:    true,
		Priority:  g.priority,
	})
	if err != nil {
		return attempt{outcome: classifier.NotRun{}, problem: connectionProblem(fmt.Errorf("encode request: %w", err))}
	}
	u := url.URL{Scheme: "http", Host: address, Path: "/v1/completions"}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, u.String(), bytes.NewReader(body))
	if err != nil {
		return attempt{outcome: classifier.NotRun{}, problem: connectionProblem(fmt.Errorf("create request: %w", err))}
	}
	req.Header.Set("Content-Type", "application/json")
	if len(t.tokens) > 0 {
		req.Header.Set("Last-Event-ID", strconv.Itoa(len(t.tokens)-1))
	}
	resp, err := r.do(req, g.requestID)
	if err != nil {
		return attempt{outcome: classifier.Unknown{}, problem: connectionProblem(err)}
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return attempt{outcome: classifier.ParseOutcome(resp.Header.Get("X-Outcome")), problem: readProblem(resp)}
	}
	adapter, version := resp.Header.Get("X-Adapter"), resp.Header.Get("X-Version")
	if len(t.tokens) > 0 && (adapter != t.adapter || version != t.version) {
		t.versionChanged = true
		return attempt{outcome: classifier.Unknown{}, problem: connectionProblem(fmt.Errorf(
			"the resumed stream is from %q@%q, the tokens before it are from %q@%q", adapter, version, t.adapter, t.version))}
	}
	t.adapter, t.version = adapter, version
	t.epoch = resp.Header.Get("X-Bundle-Epoch")
	return r.readStream(resp.Body, t)
}

// event is one server-sent event.
type event struct {
	name string
	id   string
	data string
}

type chunkDocument struct {
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
}

// readStream reads the events of a stream to its end.
func (r *Requester) readStream(body io.Reader, t *GenerationResult) attempt {
	lines := bufio.NewScanner(body)
	for {
		e, err := nextEvent(lines)
		if err != nil {
			return attempt{outcome: classifier.Unknown{}, problem: connectionProblem(err)}
		}
		switch {
		case e.name == "error":
			return eventProblem(e)
		case e.data == "[DONE]":
			return attempt{outcome: classifier.Done{}}
		}
		if err := t.add(e); err != nil {
			return attempt{outcome: classifier.Unknown{}, problem: connectionProblem(err)}
		}
	}
}

func eventProblem(e event) attempt {
	var doc problemDocument
	if err := json.Unmarshal([]byte(e.data), &doc); err != nil {
		return attempt{outcome: classifier.Unknown{}, problem: connectionProblem(fmt.Errorf("decode error event: %w", err))}
	}
	p := parseProblem(doc.Status, "", []byte(e.data))
	return attempt{outcome: classifier.Unknown{}, problem: p}
}

// add appends the token of an event. Its id must continue the text, so that no
// token is lost or duplicated after a resume.
func (t *GenerationResult) add(e event) error {
	id, err := strconv.Atoi(e.id)
	if err != nil {
		return fmt.Errorf("event id %q is not a token index: %w", e.id, err)
	}
	if id != len(t.tokens) {
		return fmt.Errorf("event has token index %d; expected %d", id, len(t.tokens))
	}
	var doc chunkDocument
	if err := json.Unmarshal([]byte(e.data), &doc); err != nil {
		return fmt.Errorf("decode token %d: %w", id, err)
	}
	if len(doc.Choices) != 1 {
		return fmt.Errorf("token %d has %d choices; expected 1", id, len(doc.Choices))
	}
	now := time.Now()
	if len(t.tokens) == 0 {
		t.timing.firstToken = now
	} else {
		t.timing.gaps = append(t.timing.gaps, now.Sub(t.timing.ended))
	}
	t.timing.ended = now
	t.tokens = append(t.tokens, doc.Choices[0].Text)
	return nil
}

var errStreamEnded = errors.New("stream ended before [DONE]")

func nextEvent(lines *bufio.Scanner) (event, error) {
	var e event
	for lines.Scan() {
		line := lines.Text()
		if line == "" {
			if e.data != "" {
				return e, nil
			}
			continue
		}
		field, value, _ := strings.Cut(line, ":")
		value = strings.TrimPrefix(value, " ")
		switch field {
		case "event":
			e.name = value
		case "id":
			e.id = value
		case "data":
			e.data = value
		}
	}
	if err := lines.Err(); err != nil {
		return event{}, fmt.Errorf("read stream: %w", err)
	}
	return event{}, errStreamEnded
}
