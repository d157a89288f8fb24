package impersonator

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// Requester sends requests to hosts.
type Requester struct {
	label  string
	client http.Client
	next   atomic.Int64
}

// Answer is what a requester gets for a request. Status is 0 if there is no whole answer.
type Answer struct {
	ID     string
	Status int
	Seal   string
	Body   string
}

// NewRequester returns a requester. The ids of its attempts begin with a label and a hyphen.
func NewRequester(label string) *Requester {
	return &Requester{label: label, client: http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 32}}}
}

// Do sends a request to a host and waits for at most limit.
func (q *Requester) Do(host, method, name, path, body string, limit time.Duration) Answer {
	a := Answer{ID: fmt.Sprintf("%s-%012x", q.label, q.next.Add(1))}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+host+path, strings.NewReader(body))
	if err != nil {
		return a
	}
	r.Host = name
	r.Header.Set("X-Attempt-Id", a.ID)
	r.Header.Set("X-Deadline-Ms", fmt.Sprint(limit.Milliseconds()))
	resp, err := q.client.Do(r)
	if err != nil {
		return a
	}
	data, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	if err != nil {
		return a
	}
	a.Status, a.Seal, a.Body = resp.StatusCode, resp.Header.Get("X-Server-Seal"), string(data)
	return a
}
