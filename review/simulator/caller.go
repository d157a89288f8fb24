package simulator

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Request is one attempt of a caller.
type Request struct {
	Method string
	Path   string
	Wait   time.Duration // X-Deadline-Ms
	Model  string
	Tokens string // X-Token-Count
	Parts  string // X-Prompt-Prefix
	Key    string
	Body   string
	// Last and Resumes are those of a stream that the caller takes up again.
	Last    int
	Resumes string
}

// Answer is what the caller got.
type Answer struct {
	ID     string
	Host   string
	Path   string
	SentAt time.Duration
	EndAt  time.Duration
	Status int // 0 if the channel closed without an answer
	Sealed bool
	Err    error // of the body
	Body   string
}

// Served reports whether the request was answered with success.
func (a Answer) Served() bool { return a.Status == http.StatusOK && a.Sealed && a.Err == nil }

// HostName is the host name that all routes have.
const HostName = "reviews.example"

var attempts atomic.Int64

// Caller sends requests over channels that it keeps open. It keeps all answers.
type Caller struct {
	deployment *Deployment
	client     http.Client
	mu         sync.Mutex
	answers    []Answer
}

// NewCaller returns a caller.
func (d *Deployment) NewCaller() *Caller {
	return &Caller{deployment: d, client: http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}}}
}

// Answers returns all answers so far.
func (c *Caller) Answers() []Answer {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]Answer(nil), c.answers...)
}

// Send sends one attempt to a host.
func (c *Caller) Send(h *Host, r Request) Answer {
	rec := c.deployment.recorder
	a := Answer{ID: fmt.Sprintf("%016x", attempts.Add(1)), Host: h.name, Path: r.Path, SentAt: rec.Now()}
	rec.Printf("caller sends %s %s to %s tokens=%s parts=%s", a.ID, r.Path, h.name, r.Tokens, r.Parts)
	c.exchange(h, r, &a)
	a.EndAt = rec.Now()
	rec.Printf("caller gets %d for %s sealed=%t err=%v %s", a.Status, a.ID, a.Sealed, a.Err, excerpt(a.Body))
	c.mu.Lock()
	c.answers = append(c.answers, a)
	c.mu.Unlock()
	return a
}

func (c *Caller) exchange(h *Host, r Request, a *Answer) {
	ctx, cancel := context.WithTimeout(context.Background(), r.Wait+time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, r.Method, "http://"+h.Address()+r.Path, bytes.NewReader([]byte(r.Body)))
	if err != nil {
		a.Err = err
		return
	}
	req.GetBody = nil // the transport must not repeat the request
	req.Host = HostName
	req.Header.Set("X-Attempt-Id", a.ID)
	req.Header.Set("X-Deadline-Ms", strconv.FormatInt(r.Wait.Milliseconds(), 10))
	for name, value := range map[string]string{"X-Model": r.Model, "X-Token-Count": r.Tokens, "X-Prompt-Prefix": r.Parts} {
		if value != "" {
			req.Header.Set(name, value)
		}
	}
	if r.Resumes != "" {
		req.Header.Set("Resumes", r.Resumes)
		req.Header.Set("Last-Event-Id", strconv.Itoa(r.Last))
	}
	if r.Key != "" {
		req.Header.Set("Authorization", "Token "+r.Key)
	}
	resp, err := c.client.Do(req)
	if err != nil {
		a.Err = err
		return
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil && !errors.Is(err, io.EOF) {
		a.Err = err
	}
	a.Status, a.Body, a.Sealed = resp.StatusCode, string(body), resp.Header.Get("X-Server-Seal") != ""
}

// Load sends a request every interval to the hosts in turn, until stop is closed, and returns
// once all are answered.
func (c *Caller) Load(stop <-chan struct{}, interval time.Duration, hosts []*Host, next func(i int) Request) {
	var pending sync.WaitGroup
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for i := 0; ; i++ {
		select {
		case <-stop:
			pending.Wait()
			return
		case <-ticker.C:
		}
		pending.Go(func() { c.Send(hosts[i%len(hosts)], next(i)) })
	}
}

// excerpt returns the beginning of a body on one line.
func excerpt(body string) string {
	const length = 120
	return strings.Join(strings.Fields(body[:min(len(body), length)]), " ")
}
