package storer

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"github.com/dragonflyford/dragonflyford/transporter"
)

const (
	maxResponse = 64 << 20 // bytes; a page of rows or one object
	maxError    = 64 << 10 // bytes
)

// platform is the common part of the HTTP clients.
type platform struct {
	client *transporter.Client
}

// Close closes the idle connections.
func (p platform) Close() { p.client.Close() }

// read sends a request without side effects and returns the response body.
func (p platform) read(ctx context.Context, path string, query url.Values) ([]byte, error) {
	r := transporter.NewRequest(http.MethodGet, path, nil)
	r.SetQuery(query)
	resp, err := p.client.Do(ctx, r)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	if resp.StatusCode != http.StatusOK {
		return nil, responseError(resp, ErrUnavailable)
	}
	body, err := transporter.ReadBody(resp, maxResponse)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	return body, nil
}

// write sends a request with side effects. It fails with ErrUncertain if the request
// was sent but its effect is not known.
func (p platform) write(ctx context.Context, r *transporter.Request) error {
	resp, err := p.client.Do(ctx, r)
	switch {
	case errors.Is(err, transporter.ErrNotSent):
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	case err != nil:
		return fmt.Errorf("%w: %w", ErrUncertain, err)
	case resp.StatusCode == http.StatusNoContent:
		_ = resp.Body.Close()
		return nil
	default:
		return responseError(resp, ErrUncertain)
	}
}

// responseError returns the error that a response reports. A response without a known
// code does not come from the service itself, so it is no evidence of the effect and
// is mapped to unknown.
func responseError(resp *http.Response, unknown error) error {
	body, err := transporter.ReadBody(resp, maxError)
	if err != nil {
		return fmt.Errorf("%w: %w", unknown, err)
	}
	var doc ErrorDocument
	if err := json.Unmarshal(body, &doc); err != nil {
		return fmt.Errorf("status %d: %w", resp.StatusCode, unknown)
	}
	switch doc.Code {
	case CodeNotFound:
		return ErrNotFound
	case CodeConflict:
		return NewConflictError(doc.Key)
	case CodeUnavailable, CodeMalformed:
		return fmt.Errorf("%s: %w", doc.Message, ErrUnavailable)
	default:
		return fmt.Errorf("status %d with code %q: %w", resp.StatusCode, doc.Code, unknown)
	}
}

func decode[T any](body []byte) (T, error) {
	var doc T
	if err := json.Unmarshal(body, &doc); err != nil {
		return doc, fmt.Errorf("decode response: %w: %w", ErrUnavailable, err)
	}
	return doc, nil
}

// HTTPTable is a client of the table service.
type HTTPTable struct{ platform }

// NewHTTPTable returns a client for the table service at address, a host and port.
func NewHTTPTable(address string) *HTTPTable {
	return &HTTPTable{platform{transporter.New(address)}}
}

// Get implements Table.
func (t *HTTPTable) Get(ctx context.Context, key string) (Row, error) {
	body, err := t.read(ctx, "/v1/row", url.Values{"key": {key}})
	if err != nil {
		return Row{}, fmt.Errorf("read row %q: %w", key, err)
	}
	doc, err := decode[RowDocument](body)
	if err != nil {
		return Row{}, fmt.Errorf("read row %q: %w", key, err)
	}
	if doc.Key != key {
		return Row{}, fmt.Errorf("read row %q: %w", key, unexpectedRow(doc.Key))
	}
	return NewRow(doc.Key, doc.Value, Version(doc.Version)), nil
}

// unexpectedRow returns the error for a response that belongs to another request.
func unexpectedRow(key string) error {
	return fmt.Errorf("response contains unexpected row %q: %w", key, ErrUnavailable)
}

// Scan implements Table.
func (t *HTTPTable) Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error) {
	query := url.Values{"prefix": {prefix}, "after": {after}, "limit": {strconv.Itoa(limit)}}
	body, err := t.read(ctx, "/v1/rows", query)
	if err != nil {
		return nil, fmt.Errorf("scan rows under %q: %w", prefix, err)
	}
	doc, err := decode[RowsDocument](body)
	if err != nil {
		return nil, fmt.Errorf("scan rows under %q: %w", prefix, err)
	}
	rows := make([]Row, 0, len(doc.Rows))
	for _, r := range doc.Rows {
		if !strings.HasPrefix(r.Key, prefix) || r.Key <= after {
			return nil, fmt.Errorf("scan rows under %q: %w", prefix, unexpectedRow(r.Key))
		}
		rows = append(rows, NewRow(r.Key, r.Value, Version(r.Version)))
	}
	return rows, nil
}

// Commit implements Table.
func (t *HTTPTable) Commit(ctx context.Context, writes ...Write) error {
	body, err := json.Marshal(encodeCommit(writes))
	if err != nil {
		return fmt.Errorf("encode commit: %w", err)
	}
	if err := t.write(ctx, transporter.NewRequest(http.MethodPost, "/v1/commits", body)); err != nil {
		return fmt.Errorf("commit: %w", err)
	}
	return nil
}

func encodeCommit(writes []Write) CommitDocument {
	doc := CommitDocument{Writes: make([]WriteDocument, 0, len(writes))}
	for _, w := range writes {
		d := WriteDocument{Key: w.Key(), Expected: uint64(w.Expected())}
		switch w := w.(type) {
		case Put:
			d.Kind = KindPut
			d.Value = w.Value()
		case Delete:
			d.Kind = KindDelete
		case Check:
			d.Kind = KindCheck
		}
		doc.Writes = append(doc.Writes, d)
	}
	return doc
}

// HTTPObjects is a client of the object store.
type HTTPObjects struct{ platform }

// NewHTTPObjects returns a client for the object store at address, a host and port.
func NewHTTPObjects(address string) *HTTPObjects {
	return &HTTPObjects{platform{transporter.New(address)}}
}

// Put implements Objects.
func (o *HTTPObjects) Put(ctx context.Context, key string, body []byte) error {
	if body == nil {
		body = []byte{}
	}
	r := transporter.NewRequest(http.MethodPut, "/v1/object", body)
	r.SetQuery(url.Values{"key": {key}})
	if err := o.write(ctx, r); err != nil {
		return fmt.Errorf("put object %q: %w", key, err)
	}
	return nil
}

// Delete removes an object, if it exists.
func (o *HTTPObjects) Delete(ctx context.Context, key string) error {
	r := transporter.NewRequest(http.MethodDelete, "/v1/object", nil)
	r.SetQuery(url.Values{"key": {key}})
	if err := o.write(ctx, r); err != nil {
		return fmt.Errorf("delete object %q: %w", key, err)
	}
	return nil
}

// Get implements Objects.
func (o *HTTPObjects) Get(ctx context.Context, key string) ([]byte, error) {
	body, err := o.read(ctx, "/v1/object", url.Values{"key": {key}})
	if err != nil {
		return nil, fmt.Errorf("get object %q: %w", key, err)
	}
	return body, nil
}

// List implements Objects.
func (o *HTTPObjects) List(ctx context.Context, prefix string) ([]string, error) {
	body, err := o.read(ctx, "/v1/objects", url.Values{"prefix": {prefix}})
	if err != nil {
		return nil, fmt.Errorf("list objects under %q: %w", prefix, err)
	}
	doc, err := decode[KeysDocument](body)
	if err != nil {
		return nil, fmt.Errorf("list objects under %q: %w", prefix, err)
	}
	return doc.Keys, nil
}

// HTTPHosts is a client of the host list.
type HTTPHosts struct{ platform }

// NewHTTPHosts returns a client for the host list at address, a host and port.
func NewHTTPHosts(address string) *HTTPHosts {
	return &HTTPHosts{platform{transporter.New(address)}}
}

// List implements Hosts.
func (h *HTTPHosts) List(ctx context.Context) ([]Host, error) {
	body, err := h.read(ctx, "/v1/hosts", nil)
	if err != nil {
		return nil, fmt.Errorf("list hosts: %w", err)
	}
	doc, err := decode[HostsDocument](body)
	if err != nil {
		return nil, fmt.Errorf("list hosts: %w", err)
	}
	hosts := make([]Host, 0, len(doc.Hosts))
	for _, d := range doc.Hosts {
		hosts = append(hosts, NewHost(d.Name, d.Leaving))
	}
	return hosts, nil
}
