package imitator

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// silentReports is the number of liveness reports that must fail to come before the store
// removes a worker's entry.
const silentReports = 3

// Entry returns the fields that a worker writes to the store.
type Entry func() map[string]any

// Worker is a worker process with its entry in the store.
type Worker struct {
	deployment *Deployment
	id         string
	address    string
	entry      Entry
	handler    http.Handler

	mu       sync.Mutex
	server   *http.Server
	born     time.Time
	cut      bool // from the store
	running  bool
	lastBeat time.Time
	written  []byte // entry in the store; nil if there is none
	stop     chan struct{}
}

// AddWorker starts a worker. Entry returns what it says of itself besides its address,
// its start and its state.
func (d *Deployment) AddWorker(id string, entry Entry, handler http.Handler) (*Worker, error) {
	w := &Worker{deployment: d, id: id, address: d.address(firstWorkerHost+len(d.workers), 0), entry: entry, handler: handler, stop: make(chan struct{})}
	d.workers = append(d.workers, w)
	if err := w.Start(); err != nil {
		return nil, err
	}
	go w.report()
	return w, nil
}

// ID returns the worker's id.
func (w *Worker) ID() string { return w.id }

// Start starts the worker's process.
func (w *Worker) Start() error {
	l, err := w.deployment.listen(w.address)
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.server, w.born, w.running = serve(l, w.handler), time.Now(), true
	w.beat()
	return nil
}

// Crash ends the worker's process at once: its connections break, and it says nothing. It
// reports false if the process has ended before.
func (w *Worker) Crash() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.running {
		return false
	}
	w.running = false
	_ = w.server.Close() // its listener may be closed already
	return true
}

// Stop ends the worker for good.
func (w *Worker) Stop() {
	w.Crash()
	close(w.stop)
}

// CutFromStore sets whether the worker is cut off from the store.
func (w *Worker) CutFromStore(cut bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cut = cut
}

// LastReport returns when the store last got a liveness report.
func (w *Worker) LastReport() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.lastBeat
}

// report sends liveness reports, and removes the entry for the store if they fail to come.
func (w *Worker) report() {
	ticker := time.NewTicker(HeartbeatInterval)
	defer ticker.Stop()
	lapsed := time.NewTicker(HeartbeatInterval / 12)
	defer lapsed.Stop()
	for {
		select {
		case <-w.stop:
			return
		case <-ticker.C:
			w.mu.Lock()
			w.beat()
			w.mu.Unlock()
		case <-lapsed.C:
			w.removeSilent()
		}
	}
}

// beat writes the entry if it differs in more than its sequence. It requires mu.
func (w *Worker) beat() {
	if w.cut || !w.running || w.deployment.down.Load() {
		return
	}
	w.lastBeat = time.Now()
	fields := w.entry()
	fields["address"], fields["born"] = w.address, w.born.UnixMilli()
	sequence := fields["sequence"]
	delete(fields, "sequence")
	compared, err := json.Marshal(fields)
	if err != nil {
		panic(fmt.Sprintf("encode entry: %v", err)) // all fields can be encoded
	}
	if bytes.Equal(compared, w.written) {
		return
	}
	if w.written == nil {
		w.deployment.Record.Printf("worker %s is entered in the store", w.id)
	}
	w.written = compared
	fields["sequence"] = sequence
	value, err := json.Marshal(fields)
	if err != nil {
		panic(fmt.Sprintf("encode entry: %v", err))
	}
	w.deployment.Store.Set("servers", w.id, value)
}

// excuse makes up for the reports that the store could not take.
func (w *Worker) excuse() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastBeat = time.Now()
}

// enterAgain writes the entry again, as the store may have lost it.
func (w *Worker) enterAgain() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.written = nil
	w.beat()
}

func (w *Worker) removeSilent() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.written == nil || w.deployment.down.Load() || time.Since(w.lastBeat) < silentReports*HeartbeatInterval {
		return
	}
	w.written = nil
	w.deployment.Store.Remove("servers", w.id)
	w.deployment.Record.Printf("worker %s is removed from the store after three missed reports", w.id)
}
