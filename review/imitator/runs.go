package imitator

import (
	"bytes"
	"net/http"
	"sync"
)

// Runs counts the events that workers have written for each attempt. It is safe for
// concurrent use.
type Runs struct {
	mu     sync.Mutex
	events map[string]map[string]int // by attempt and worker
}

// NewRuns returns an empty count.
func NewRuns() *Runs { return &Runs{events: make(map[string]map[string]int)} }

// Wrap returns the handler of a worker whose events are counted.
func (r *Runs) Wrap(worker string, h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if id := req.Header.Get("X-Attempt-Id"); id != "" {
			w = &countingWriter{ResponseWriter: w, count: func(n int) { r.add(id, worker, n) }}
		}
		h.ServeHTTP(w, req)
	})
}

func (r *Runs) add(attempt, worker string, n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.events[attempt] == nil {
		r.events[attempt] = make(map[string]int)
	}
	r.events[attempt][worker] += n
}

// Workers returns the workers that wrote events for an attempt.
func (r *Runs) Workers(attempt string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []string
	for worker := range r.events[attempt] {
		list = append(list, worker)
	}
	return list
}

// countingWriter counts the ends of events.
type countingWriter struct {
	http.ResponseWriter
	count func(n int)
}

// Write implements http.ResponseWriter.
func (c *countingWriter) Write(b []byte) (int, error) {
	n, err := c.ResponseWriter.Write(b)
	if events := bytes.Count(b[:n], []byte("\n\n")); events > 0 {
		c.count(events)
	}
	return n, err
}

// Unwrap lets http.ResponseController reach the writer.
func (c *countingWriter) Unwrap() http.ResponseWriter { return c.ResponseWriter }
