package impersonator

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Heartbeat is the time between two reports of a worker.
const Heartbeat = 1200 * time.Millisecond

// A worker runs maxRunning requests at once and lets maxWaiting wait, as ledger-app on the site
// ckl-wiki does.
const (
	maxRunning = 6
	maxWaiting = 24
)

// Worker is a worker of a plain service. It serves from Start to Crash, and may start again
// at its address as a new lifetime with a new id.
type Worker struct {
	store   *Store
	service string
	zone    string
	address string
	run     Runner
	// Arrived, if set, is called for each request that arrives. It is to be set before Start.
	Arrived func(r *http.Request)
	// Header, if set, adds fields to the head of each answer. It is to be set before Start.
	Header func(h http.Header)

	slots            chan struct{}
	running, waiting atomic.Int64

	mu     sync.Mutex
	starts int
	id     string
	server *http.Server
	stop   chan struct{}
}

// End is how the run of a request ends.
type End int

// Ends of a run.
const (
	Answered End = iota
	Crashed      // the worker crashes without an answer
	Lost         // the answer is lost, and the connection reset
)

// Runner is called for each request that a worker begins to run.
type Runner func(id string, r *http.Request) (status int, end End)

// NewWorker returns a worker that has not started.
func NewWorker(store *Store, service, zone, ip string, run Runner) (*Worker, error) {
	ports, err := freePorts(ip, 1)
	if err != nil {
		return nil, err
	}
	return &Worker{
		store: store, service: service, zone: zone, address: fmt.Sprintf("%s:%d", ip, ports[0]), run: run,
		slots: make(chan struct{}, maxRunning),
	}, nil
}

// Start starts a lifetime of the worker.
func (w *Worker) Start() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	l, err := net.Listen("tcp", w.address)
	if err != nil {
		return err
	}
	w.starts++
	id := fmt.Sprintf("i-%s-%d", w.address, w.starts)
	w.id, w.stop = id, make(chan struct{})
	w.server = &http.Server{Handler: http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) { w.serve(id, rw, r) })}
	go func(s *http.Server) { _ = s.Serve(l) }(w.server)
	go w.report(id, time.Now().UnixMilli(), w.stop)
	return nil
}

func (w *Worker) report(id string, born int64, stop chan struct{}) {
	for {
		w.store.Put("servers", id, map[string]any{
			"service": w.service, "address": w.address, "zone": w.zone, "version": "v1", "slots": maxRunning, "state": "ready",
			"cold_left_ms": 0, "born": born,
		})
		select {
		case <-stop:
			return
		case <-time.After(Heartbeat):
		}
	}
}

// Crash ends the lifetime: all connections break, and the entry is removed after three
// reports of silence.
func (w *Worker) Crash() {
	w.mu.Lock()
	server, id := w.server, w.id
	w.server = nil
	w.mu.Unlock()
	if server == nil {
		return
	}
	close(w.stop)
	_ = server.Close()
	time.AfterFunc(3*Heartbeat, func() { w.store.Remove("servers", id) })
}

func (w *Worker) serve(id string, rw http.ResponseWriter, r *http.Request) {
	attempt := r.Header.Get("X-Attempt-Id")
	h := rw.Header()
	h.Set("X-Instance-Id", id)
	if w.Header != nil {
		w.Header(h)
	}
	if r.Method == http.MethodGet && r.URL.Path == "/health" {
		w.setLoad(h)
		return
	}
	if attempt == "" {
		h.Set("X-Not-Executed", "1")
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	h.Set("X-Attempt-Id", attempt)
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if w.Arrived != nil {
		w.Arrived(r)
	}
	if !w.begin(r.Context()) {
		w.setLoad(h)
		h.Set("X-Not-Executed", "1")
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	status, end := w.run(id, r)
	w.setLoad(h)
	w.end()
	switch end {
	case Answered:
	case Crashed:
		w.Crash()
		panic(http.ErrAbortHandler)
	case Lost:
		reset(rw)
		return
	}
	h.Set("X-Server-Seal", "seal-"+id+"-"+attempt)
	rw.WriteHeader(status)
	_, _ = rw.Write([]byte("answer to " + attempt)) // the host may be gone
}

// begin waits until a request may run. It returns false if too many wait already, or if the
// connection was closed meanwhile.
func (w *Worker) begin(ctx context.Context) bool {
	defer w.waiting.Add(-1)
	if w.waiting.Add(1) > maxWaiting {
		return false
	}
	select {
	case w.slots <- struct{}{}:
		w.running.Add(1)
		return true
	case <-ctx.Done():
		return false
	}
}

func (w *Worker) end() {
	w.running.Add(-1)
	<-w.slots
}

func (w *Worker) setLoad(h http.Header) {
	h.Set("X-Server-Load", fmt.Sprintf("%d,%d,%d", w.running.Load(), w.waiting.Load(), maxRunning))
}

// reset resets the connection of a request.
func reset(rw http.ResponseWriter) {
	conn, _, err := http.NewResponseController(rw).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // closing then resets the connection
	}
	_ = conn.Close()
}
