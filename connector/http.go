package connector

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"github.com/dragonflyford/dragonflyford/transporter"
)

const (
	maxResponseBytes = 16 << 20 // bytes of a report, a cached state or a reply
	maxErrorBytes    = 64 << 10 // bytes
)

// httpClient is the common part of HTTPEngine and HTTPService.
type httpClient struct {
	client *transporter.Client
}

// Close closes the idle connections.
func (c httpClient) Close() { c.client.Close() }

// do sends a request. It reports an unsent request as ErrRefused and one
// without a response as ErrBroken.
func (c httpClient) do(ctx context.Context, r *transporter.Request) (*http.Response, error) {
	resp, err := c.client.Do(ctx, r)
	switch {
	case errors.Is(err, transporter.ErrNotSent):
		return nil, fmt.Errorf("%w: %w", ErrRefused, err)
	case err != nil:
		return nil, fmt.Errorf("%w: %w", ErrBroken, err)
	}
	return resp, nil
}

// roundTrip sends a request and returns the body of its response.
func (c httpClient) roundTrip(ctx context.Context, r *transporter.Request) ([]byte, error) {
	resp, err := c.do(ctx, r)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK && resp.StatusCode != http.StatusNoContent {
		return nil, decodeError(resp)
	}
	return readBody(resp)
}

func readBody(resp *http.Response) ([]byte, error) {
	body, err := transporter.ReadBody(resp, maxResponseBytes)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrBroken, err)
	}
	return body, nil
}

// decodeError returns the error that an engine's response reports.
func decodeError(resp *http.Response) error {
	body, err := transporter.ReadBody(resp, maxErrorBytes)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrBroken, err)
	}
	var doc ErrorDocument
	if err := json.Unmarshal(body, &doc); err != nil {
		return fmt.Errorf("status %d: %w", resp.StatusCode, ErrBroken)
	}
	return fmt.Errorf("status %d: %s: %w", resp.StatusCode, doc.Message, errorForCode(doc.Code))
}

// errorForCode returns the error of a code. An unknown code does not show
// whether the work ran, so it is ErrBroken.
func errorForCode(code string) error {
	switch code {
	case CodeRefused, CodeMalformed:
		return ErrRefused
	case CodeFenced:
		return ErrFenced
	case CodeNotResident:
		return ErrNotResident
	case CodeLoadFailed:
		return ErrLoadFailed
	default:
		return ErrBroken
	}
}

// HTTPEngine is a client of a model engine.
type HTTPEngine struct{ httpClient }

// NewHTTPEngine returns a client for a host and port.
func NewHTTPEngine(address string) *HTTPEngine {
	return &HTTPEngine{httpClient{transporter.New(address)}}
}

// Generate starts a job. The end of ctx cancels the job.
func (e *HTTPEngine) Generate(ctx context.Context, job Job) (Stream, error) {
	body, err := json.Marshal(EncodeJob(job))
	if err != nil {
		return nil, fmt.Errorf("encode job: %w: %w", ErrRefused, err)
	}
	r := transporter.NewRequest(http.MethodPost, "/v1/completions", body)
	r.SetHeader("Content-Type", "application/json")
	r.SetHeader("Accept", "text/event-stream")
	ctx, cancel := context.WithCancel(ctx)
	resp, err := e.do(ctx, r)
	if err != nil {
		cancel()
		return nil, fmt.Errorf("start job: %w", err)
	}
	if resp.StatusCode != http.StatusOK {
		defer cancel()
		return nil, fmt.Errorf("start job: %w", decodeError(resp))
	}
	return newHTTPStream(ctx, cancel, resp.Body), nil
}

// Order executes an order and returns when it is complete. No byte of it is
// written after its deadline.
func (e *HTTPEngine) Order(ctx context.Context, order Order) error {
	path, doc := encodeOrder(order)
	body, err := json.Marshal(doc)
	if err != nil {
		return fmt.Errorf("encode order: %w: %w", ErrRefused, err)
	}
	r := transporter.NewRequest(http.MethodPost, path, body)
	r.SetHeader("Content-Type", "application/json")
	r.SetHeader(HeaderFencingToken, strconv.FormatUint(order.Token(), 10))
	r.SetWriteDeadline(order.Deadline())
	if _, err := e.roundTrip(ctx, r); err != nil {
		return fmt.Errorf("order %s: %w", path, err)
	}
	return nil
}

func encodeOrder(order Order) (path string, doc any) {
	switch o := order.(type) {
	case LoadModel:
		return "/v1/load_model", LoadModelDocument{Base: o.base}
	case LoadAdapter:
		return "/v1/load_lora_adapter", EncodeModel(o.model)
	case UnloadAdapter:
		return "/v1/unload_lora_adapter", EncodeModel(o.model)
	case ChangeRole:
		return "/v1/role", RoleDocument{Role: o.role.String()}
	default:
		return "", nil
	}
}

// Report returns the engine's latest report.
func (e *HTTPEngine) Report(ctx context.Context) (Report, error) {
	body, err := e.roundTrip(ctx, transporter.NewRequest(http.MethodGet, "/v1/report", nil))
	if err != nil {
		return Report{}, fmt.Errorf("get report: %w", err)
	}
	var doc ReportDocument
	if err := json.Unmarshal(body, &doc); err != nil {
		return Report{}, fmt.Errorf("decode report: %w: %w", ErrBroken, err)
	}
	report, err := DecodeReport(doc)
	if err != nil {
		return Report{}, fmt.Errorf("%w: %w", ErrBroken, err)
	}
	return report, nil
}

// ExportCache returns the cached state of the longest cached prefix of the
// prompt.
func (e *HTTPEngine) ExportCache(ctx context.Context, m Model, prompt string) ([]byte, error) {
	body, err := json.Marshal(ExportDocument{Model: EncodeModel(m), Prompt: prompt})
	if err != nil {
		return nil, fmt.Errorf("encode prompt: %w: %w", ErrRefused, err)
	}
	state, err := e.roundTrip(ctx, transporter.NewRequest(http.MethodPost, "/v1/cache/export", body))
	if err != nil {
		return nil, fmt.Errorf("export cached state: %w", err)
	}
	return state, nil
}

// ImportCache loads the state that another engine exported.
func (e *HTTPEngine) ImportCache(ctx context.Context, state []byte) error {
	if _, err := e.roundTrip(ctx, transporter.NewRequest(http.MethodPost, "/v1/cache/import", state)); err != nil {
		return fmt.Errorf("import cached state: %w", err)
	}
	return nil
}

// HTTPService is a client of a plain service.
type HTTPService struct{ httpClient }

// NewHTTPService returns a client for a host and port.
func NewHTTPService(address string) *HTTPService {
	return &HTTPService{httpClient{transporter.New(address)}}
}

// Call runs an operation. Any status is a reply of the operation, unless
// HeaderEndpointError marks the response as an error of the service.
func (s *HTTPService) Call(ctx context.Context, op Operation) (Reply, error) {
	path := op.Path()
	if !strings.HasPrefix(path, "/") {
		path = "/" + path
	}
	r := transporter.NewRequest(op.Method(), path, op.Body())
	if len(op.Body()) > 0 {
		r.SetHeader("Content-Type", "application/json")
	}
	r.SetHeader(HeaderAttempt, op.Attempt())
	r.SetHeader(HeaderOperation, op.ID())
	resp, err := s.do(ctx, r)
	if err != nil {
		return Reply{}, fmt.Errorf("call service: %w", err)
	}
	if code := resp.Header.Get(HeaderEndpointError); code != "" {
		_ = resp.Body.Close()
		return Reply{}, fmt.Errorf("call service: status %d: %w", resp.StatusCode, errorForCode(code))
	}
	body, err := readBody(resp)
	if err != nil {
		return Reply{}, fmt.Errorf("call service: %w", err)
	}
	return NewReply(resp.Header.Get(HeaderAttempt), resp.StatusCode, resp.Header.Get("Content-Type"), body), nil
}

// Revoke makes the service refuse an operation and reports whether it ran.
func (s *HTTPService) Revoke(ctx context.Context, operation string) (bool, error) {
	body, err := json.Marshal(RevokeDocument{Operation: operation})
	if err != nil {
		return false, fmt.Errorf("encode revocation: %w: %w", ErrRefused, err)
	}
	response, err := s.roundTrip(ctx, transporter.NewRequest(http.MethodPost, "/fencing/revocations", body))
	if err != nil {
		return false, fmt.Errorf("revoke operation: %w", err)
	}
	var doc RevokedDocument
	if err := json.Unmarshal(response, &doc); err != nil {
		return false, fmt.Errorf("decode revocation: %w: %w", ErrBroken, err)
	}
	return doc.Ran, nil
}
