package simulator

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Run is a request that a worker began to work on.
type Run struct {
	ID     string
	Worker string
	Path   string
	Parts  []string // of its prompt
	Tokens int      // sum of the two numbers of X-Token-Count
	At     time.Duration
}

// Options describe a worker.
type Options struct {
	Service string
	Zone    string
	Slots   int
	Work    time.Duration // until the answer or its first event
	Events  int           // of a stream; 0 for a plain answer
	Pause   time.Duration // between two events
	Base    string        // base model of an engine; "" for a plain service
	Memory  int           // tokens that fit into an engine
	Down    time.Duration // how long a worker is down after a crash
	// Crashes returns whether a request crashes each worker that begins to run it.
	Crashes func(r *http.Request) bool
}

// Worker is a stand-in for a worker. It follows the users' pages: it refuses requests for
// other workers, those for which it has no room, and those for a model that it has not loaded.
type Worker struct {
	Options
	id         string
	address    string
	deployment *Deployment

	mu       sync.Mutex
	server   *http.Server // nil while the worker is down
	born     int64
	running  int
	software string
	next     string // version of the software from the next start on
	loaded   bool   // the base model
	sequence int64
	runs     []Run
	lastBeat time.Time
}

// AddWorker starts a worker.
func (d *Deployment) AddWorker(id string, o Options) (*Worker, error) {
	d.mu.Lock()
	ip := fmt.Sprintf("%s.%d", d.network, 100+len(d.workers))
	d.mu.Unlock()
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, fmt.Errorf("listen for worker %s: %w", id, err)
	}
	w := &Worker{
		Options: o, id: id, address: listener.Addr().String(), deployment: d,
		loaded: o.Base != "", next: "v1",
	}
	w.serve(listener)
	d.mu.Lock()
	d.workers = append(d.workers, w)
	d.mu.Unlock()
	d.beats.Go(w.beat)
	return w, nil
}

// Runs returns the requests that the worker began to work on.
func (w *Worker) Runs() []Run {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]Run(nil), w.runs...)
}

func (w *Worker) serve(l net.Listener) {
	server := &http.Server{Handler: http.HandlerFunc(w.handle)}
	w.mu.Lock()
	w.server, w.born, w.software = server, time.Now().UnixMilli(), w.next
	w.mu.Unlock()
	go func() { _ = server.Serve(l) }() // ends with Close
	w.writeEntry()
}

func (w *Worker) stop() {
	w.mu.Lock()
	server := w.server
	w.server = nil
	w.mu.Unlock()
	if server != nil {
		_ = server.Close()
	}
}

// Upgrade ends the worker without notice. It starts again with another version of its software,
// at the same address with the same id.
func (w *Worker) Upgrade(software string) {
	w.mu.Lock()
	w.next = software
	w.mu.Unlock()
	w.Crash()
}

// Crash ends the worker without notice. It starts again empty, at the same address with the
// same id.
func (w *Worker) Crash() {
	w.mu.Lock()
	if w.server == nil {
		w.mu.Unlock()
		return
	}
	w.loaded, w.sequence, w.running = false, 0, 0
	w.mu.Unlock()
	w.deployment.recorder.Printf("worker %s crashes", w.id)
	w.stop()
	w.deployment.beats.Go(func() {
		select {
		case <-time.After(w.Down):
		case <-w.deployment.done:
			return
		}
		listener, err := net.Listen("tcp", w.address)
		if err != nil {
			w.deployment.recorder.Printf("worker %s does not start again: %v", w.id, err)
			return
		}
		w.deployment.recorder.Printf("worker %s starts again", w.id)
		w.serve(listener)
	})
}

// beat writes the worker's entry again and again. The store removes the entry of a worker that
// is silent for three heartbeats.
func (w *Worker) beat() {
	for {
		select {
		case <-w.deployment.done:
			return
		case <-time.After(heartbeat):
		}
		w.mu.Lock()
		up, silent := w.server != nil, time.Since(w.lastBeat) > 3*heartbeat
		w.mu.Unlock()
		switch {
		case up:
			w.writeEntry()
		case silent:
			w.deployment.store.Remove("servers", w.id)
		}
	}
}

type modelDocument struct {
	Name     string   `json:"name"`
	Version  int64    `json:"version"`
	Adapters []string `json:"adapters"`
}

// models requires mu.
func (w *Worker) models() []modelDocument {
	if !w.loaded {
		return []modelDocument{}
	}
	return []modelDocument{{Name: w.Base, Version: 1, Adapters: []string{}}}
}

func (w *Worker) writeEntry() {
	w.mu.Lock()
	w.lastBeat = time.Now()
	entry := map[string]any{
		"service": w.Service, "address": w.address, "zone": w.Zone, "version": w.software, "slots": w.Slots, "state": "ready",
		"cold_left_ms": 0, "sequence": w.sequence, "born": w.born, "stage": "both", "models": w.models(),
	}
	w.mu.Unlock()
	data, err := json.Marshal(entry)
	if err != nil {
		panic(err) // all values can be encoded
	}
	w.deployment.store.Set("servers", w.id, data)
}

func (w *Worker) handle(rw http.ResponseWriter, r *http.Request) {
	if want := r.Header.Get("X-Expect-Instance"); want != "" && want != w.id {
		rw.Header().Set("X-Instance-Id", w.id)
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/dragonflyford/report":
		w.report(rw)
	case "/dragonflyford/order":
		w.order(rw, r)
	default:
		w.request(rw, r)
	}
}

func (w *Worker) report(rw http.ResponseWriter) {
	w.mu.Lock()
	doc := map[string]any{
		"stage": "both", "models": w.models(), "busy": false, "sequence": w.sequence, "waiting": 0, "running": w.running,
		"kv_used": 0, "kv_total": w.Memory, "handles": 0,
	}
	w.mu.Unlock()
	rw.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(rw).Encode(doc) // the host may have gone
}

// loadTime is how long the load of a base model takes.
const loadTime = time.Second

func (w *Worker) order(rw http.ResponseWriter, r *http.Request) {
	var o struct {
		Operation string `json:"operation"`
		Model     string `json:"model"`
		Expected  *int64 `json:"expected"`
		Holder    string `json:"holder"`
		Fence     uint64 `json:"fence"`
	}
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil || o.Holder == "" || o.Operation != "load" || o.Model != w.Base {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case o.Expected != nil && *o.Expected != w.sequence:
		rw.WriteHeader(http.StatusConflict)
		return
	case w.loaded:
		rw.WriteHeader(http.StatusOK)
		return
	}
	w.sequence++
	w.deployment.recorder.Printf("worker %s accepts an order of %s with token %d", w.id, o.Holder, o.Fence)
	born := w.born
	time.AfterFunc(loadTime, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.born == born && w.server != nil {
			w.loaded = true
		}
	})
	rw.WriteHeader(http.StatusAccepted)
}

// decodeRun describes a request.
func (w *Worker) decodeRun(r *http.Request) Run {
	run := Run{ID: r.Header.Get("X-Attempt-Id"), Worker: w.id, Path: r.URL.Path, At: w.deployment.recorder.Now()}
	for pair := range strings.SplitSeq(r.Header.Get("X-Prompt-Prefix"), ",") {
		part, _, _ := strings.Cut(pair, ":")
		run.Parts = append(run.Parts, part)
	}
	for number := range strings.SplitSeq(r.Header.Get("X-Token-Count"), ",") {
		n, _ := strconv.Atoi(number) // 0 without the header
		run.Tokens += n
	}
	return run
}

// admit reports the status with which a request is refused, or 0. A request that is larger
// than the worker's memory is refused like one for which the worker is full.
func (w *Worker) admit(run Run, r *http.Request) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case w.Base != "" && (!w.loaded || r.Header.Get("X-Model") != w.Base):
		return http.StatusMisdirectedRequest
	case w.running >= w.Slots, w.Memory > 0 && run.Tokens > w.Memory:
		return http.StatusServiceUnavailable
	}
	w.running++
	w.runs = append(w.runs, run)
	return 0
}

func (w *Worker) request(rw http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body) // the host may have gone
	run, h := w.decodeRun(r), rw.Header()
	h.Set("X-Attempt-Id", run.ID)
	if status := w.admit(run, r); status != 0 {
		w.deployment.recorder.Printf("worker %s refuses %s with %d", w.id, run.ID, status)
		h.Set("X-Not-Executed", "1")
		rw.WriteHeader(status)
		return
	}
	w.deployment.recorder.Printf("worker %s runs %s %s parts=%s tokens=%d", w.id, run.ID, run.Path, strings.Join(run.Parts, ","), run.Tokens)
	defer func() {
		w.mu.Lock()
		w.running = max(w.running-1, 0)
		w.mu.Unlock()
	}()
	if w.Crashes != nil && w.Crashes(r) {
		go w.Crash()
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	if !sleep(r, w.Work) {
		return
	}
	w.mu.Lock()
	load, software := fmt.Sprintf("%d,0,%d", w.running, w.Slots), w.software
	w.mu.Unlock()
	h.Set("X-Server-Load", load)
	h.Set("X-Server-Seal", "seal-"+w.id+"-"+run.ID)
	if w.Events == 0 {
		_, _ = rw.Write([]byte("answer to " + run.ID)) // the host may have gone
		return
	}
	h.Set("Content-Type", "text/event-stream")
	h.Set("X-Weight-Versions", "1")
	control := http.NewResponseController(rw)
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id")) // 0 for a new stream
	for i := last + 1; i <= w.Events; i++ {
		_, _ = fmt.Fprintf(rw, "id: %d\ndata: %s %s\n\n", i, software, w.id)
		if control.Flush() != nil || i < w.Events && !sleep(r, w.Pause) {
			return
		}
	}
}

// sleep reports false if the request was cancelled meanwhile.
func sleep(r *http.Request, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-r.Context().Done():
		return false
	}
}
