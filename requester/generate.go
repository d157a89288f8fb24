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
func (r *GenerationResult) Outcome() classifier.Outcome { return r.outcome }

// Tokens returns the tokens in order.
func (r *GenerationResult) Tokens() []string { return r.tokens }

// Adapter returns the adapter that the response names as the source.
func (r *GenerationResult) Adapter() string { return r.adapter }

// Version returns the version that the response names as the source.
func (r *GenerationResult) Version() string { return r.version }

// Epoch returns the bundle epoch of the last response.
func (r *GenerationResult) Epoch() string { return r.epoch }

// Resumes returns how often the stream was resumed.
func (r *GenerationResult) Resumes() int { return r.resumes }

// VersionChanged reports whether a resumed stream came from another adapter
// version than the tokens before it.
func (r *GenerationResult) VersionChanged() bool { return r.versionChanged }

// Problem returns the reason why the text is not complete, or nil.
func (r *GenerationResult) Problem() *Problem { return r.problem }

// Timing returns when tokens arrived.
func (r *GenerationResult) Timing() Timing { return r.timing }

// Generate streams a generation and resumes it when a connection is lost.
func (r *Requester) Generate(ctx context.Context, g Generation) *GenerationResult {
	result := &GenerationResult{outcome: classifier.NotRun{}, timing: Timing{started: time.Now()}}
	for n := range r.attempts {
		had := len(result.tokens)
		a := r.generateOnce(ctx, g, n, result)
		result.outcome, result.problem = a.outcome, a.problem
		if !a.retryable() || n == r.attempts-1 {
			break
		}
		if err := r.backOff(ctx, n, a.problem); err != nil {
			break
		}
		if len(result.tokens) > had {
			result.resumes++
		}
	}
	result.timing.ended = time.Now()
	return result
}

type completionDocument struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
	Priority  int    `json:"priority,omitempty"`
}

func (r *Requester) generateOnce(ctx context.Context, g Generation, n int, result *GenerationResult) attempt {
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
	if len(result.tokens) > 0 {
		req.Header.Set("Last-Event-ID", strconv.Itoa(len(result.tokens)-1))
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
	if len(result.tokens) > 0 && (adapter != result.adapter || version != result.version) {
		result.versionChanged = true
		return attempt{outcome: classifier.Unknown{}, problem: connectionProblem(fmt.Errorf(
			"the resumed stream is from %q@%q, the tokens before it are from %q@%q", adapter, version, result.adapter, result.version))}
	}
	result.adapter, result.version = adapter, version
	result.epoch = resp.Header.Get("X-Bundle-Epoch")
	return r.readStream(resp.Body, result)
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
func (r *Requester) readStream(body io.Reader, result *GenerationResult) attempt {
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
		if err := result.add(e); err != nil {
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
func (r *GenerationResult) add(e event) error {
	id, err := strconv.Atoi(e.id)
	if err != nil {
		return fmt.Errorf("event id %q is not a token index: %w", e.id, err)
	}
	if id != len(r.tokens) {
		return fmt.Errorf("event has token index %d; expected %d", id, len(r.tokens))
	}
	var doc chunkDocument
	if err := json.Unmarshal([]byte(e.data), &doc); err != nil {
		return fmt.Errorf("decode token %d: %w", id, err)
	}
	if len(doc.Choices) != 1 {
		return fmt.Errorf("token %d has %d choices; expected 1", id, len(doc.Choices))
	}
	now := time.Now()
	if len(r.tokens) == 0 {
		r.timing.firstToken = now
	} else {
		r.timing.gaps = append(r.timing.gaps, now.Sub(r.timing.ended))
	}
	r.timing.ended = now
	r.tokens = append(r.tokens, doc.Choices[0].Text)
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
