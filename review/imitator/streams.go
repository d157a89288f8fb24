package imitator

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/dragonflyford/dragonflyford/platform/emulator"
)

// StreamConfig is a config with one route of streams that may be resumed.
const StreamConfig = `{"version":7,"limits":{"max_header_bytes":65536,"max_body_bytes":4194304,"header_timeout_ms":10000,"idle_timeout_ms":60000},
"routes":[{"name":"r-quote","host":"ficu95.example","prefix":"/quote/","route_type":"streaming","timeout_ms":30000,"target_latency_ms":1000,"priority":1,"service":"drafting","max_attempts":2,"sticky":true,"can_resume":true,"gap_aim_ms":300}],
"services":[{"name":"drafting","max_conns":360,"engine":{"slots":64,"adapter_slots":20,"weights_mb":66600,"models":[{"name":"m0","weights_mb":65100,"load_time_s":5.3,"adapters":3000,"adapter_mb":12}]}}]}`

// baseModel is the model of StreamConfig.
const baseModel = "m0"

const (
	eventInterval = 100 * time.Millisecond
	streamBudget  = 30 * time.Second // of a requester
	streamRetries = 3                // of a requester
)

// Streams are the streams that requesters ask for at a deployment, whose workers may be of
// several software versions.
type Streams struct {
	deployment *Deployment
	directory  *Directory
	runs       *Runs
	adapters   int
	events     int // of a stream
	mu         sync.Mutex
	software   map[string]string // by worker
	list       []*Stream
}

// NewStreams returns no streams. The requesters will ask for a number of adapters, or
// for the base model if it is 0, and the workers answer with a number of events.
func (d *Deployment) NewStreams(adapters, events int) *Streams {
	return &Streams{deployment: d, runs: NewRuns(), adapters: adapters, events: events, software: make(map[string]string)}
}

// Stream is what a requester asks for.
type Stream struct {
	first    string    // attempt that brought the first event
	attempts []Attempt // in order
}

// Attempt is one attempt of a requester at a stream.
type Attempt struct {
	ID      string
	Address string
	Sent    time.Time
	Resumed bool // the attempt takes the stream up after events of an earlier one
	Reply   Reply
}

// Attempts returns the attempts in order.
func (s *Stream) Attempts() []Attempt { return s.attempts }

// Complete reports whether the requester has the whole stream.
func (s *Stream) Complete() bool {
	last := len(s.attempts) - 1
	return last >= 0 && s.attempts[last].Reply.Status == http.StatusOK && s.attempts[last].Reply.Complete
}

// AddEngine adds a worker with a software version.
func (t *Streams) AddEngine(id, zone, software string) error {
	fake := emulator.NewEndpoint(id, emulator.NewEngineOptions(baseModel, 20, 250*time.Millisecond, eventInterval, t.events, 100*time.Millisecond))
	fake.SetSoftware(software)
	t.mu.Lock()
	t.software[id] = software
	t.mu.Unlock()
	entry := func() map[string]any {
		var fields map[string]any
		if err := json.Unmarshal(fake.Entry("drafting", "", zone, "ready"), &fields); err != nil {
			panic(err) // the stand-in writes JSON
		}
		fields["slots"] = 64
		return fields
	}
	if _, err := t.deployment.AddWorker(id, entry, t.runs.Wrap(id, fake.Handler())); err != nil {
		return fmt.Errorf("add engine: %w", err)
	}
	return nil
}

// AddHosts adds two machines in each zone and waits until they are ready.
func (d *Deployment) AddHosts() ([]*Host, error) {
	var list []*Host
	for i := range 2 * len(Zones) {
		h, err := d.AddHost(Zones[i%len(Zones)])
		if err != nil {
			return nil, err
		}
		list = append(list, h)
	}
	err := Eventually("all machines are ready", 10*time.Second, func() bool {
		return !slices.ContainsFunc(list, func(h *Host) bool { return !h.Ready() })
	})
	return list, err
}

// Request starts a stream at each interval from one time of the record until another, and
// returns when all have ended.
func (t *Streams) Request(from, until, interval time.Duration) {
	done := make(chan struct{})
	defer close(done)
	t.directory = t.deployment.NewDirectory(done)
	time.Sleep(from - t.deployment.Record.Now())
	client := NewClient()
	var work sync.WaitGroup
	for i := 0; t.deployment.Record.Now() < until; i++ {
		s := &Stream{}
		t.list = append(t.list, s)
		work.Go(func() { t.follow(client, s, Zones[i%len(Zones)]) })
		time.Sleep(interval)
	}
	work.Wait()
}

// List returns the streams. They must have ended.
func (t *Streams) List() []*Stream { return t.list }

// Software returns the software versions of the workers that wrote events for an attempt.
func (t *Streams) Software(attempt string) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []string
	for _, worker := range t.runs.Workers(attempt) {
		list = append(list, t.software[worker])
	}
	return list
}

// Mixed records the streams that hold events of workers of several software versions, and
// returns their number. The streams must have ended.
func (t *Streams) Mixed() int {
	mixed := 0
	for _, s := range t.list {
		var versions, attempts []string
		for _, a := range s.attempts {
			if a.Reply.Events > 0 {
				attempts = append(attempts, a.ID)
				versions = append(versions, t.Software(a.ID)...)
			}
		}
		slices.Sort(versions)
		versions = slices.Compact(versions)
		if len(versions) > 1 {
			mixed++
			t.deployment.Record.Printf("BROKEN stream of the attempts %s holds events of the versions %s", strings.Join(attempts, ", "), strings.Join(versions, ", "))
		}
	}
	return mixed
}

// Count returns the numbers of streams, of complete ones, of those that were taken up again
// with success, and of refusals. The streams must have ended.
func (t *Streams) Count() (streams, complete, takenUp, refusals int) {
	for _, s := range t.list {
		if s.Complete() {
			complete++
		}
		for i, a := range s.attempts {
			if a.Reply.Status == http.StatusServiceUnavailable {
				refusals++
			}
			if i > 0 && a.Resumed && a.Reply.Events > 0 {
				takenUp++
				break
			}
		}
	}
	return len(t.list), complete, takenUp, refusals
}

// follow sends one stream, and takes it up again where it broke off.
func (t *Streams) follow(client *http.Client, s *Stream, zone string) {
	deadline := time.Now().Add(streamBudget)
	model := baseModel
	if t.adapters > 0 {
		model += fmt.Sprintf("/a%d", rand.N(t.adapters)+1)
	}
	last, failed := -1, []string(nil)
	for range 1 + streamRetries {
		a := Attempt{ID: NewAttempt(), Address: t.directory.Pick(zone, failed...), Sent: time.Now(), Resumed: last >= 0}
		budget := time.Until(deadline)
		if a.Address == "" || budget <= 0 {
			return
		}
		call := emulator.NewCall(a.ID, HostName, "/quote/1", "quote", budget, model)
		if a.Resumed {
			call = call.Resuming(s.first, last)
		}
		a.Reply = Do(context.Background(), client, a.Address, call, budget)
		s.attempts = append(s.attempts, a)
		if a.Reply.Events > 0 {
			last = a.Reply.LastEvent
			if s.first == "" {
				s.first = a.ID
			}
		}
		if !s.Complete() || len(s.attempts) > 1 {
			t.deployment.Record.Printf("attempt %s at %s of stream %s: status %d, %d events up to %d, complete %t, by workers %v",
				a.ID, a.Address, s.first, a.Reply.Status, a.Reply.Events, a.Reply.LastEvent, a.Reply.Complete, t.runs.Workers(a.ID))
		}
		switch {
		case s.Complete():
			return
		case a.Reply.Status == http.StatusServiceUnavailable:
			time.Sleep(min(a.Reply.RetryAfter, time.Until(deadline)/3))
		default:
			failed = append(failed, a.Address)
		}
	}
}
