// Command 8 is the case of prompts with a part that crashes workers, of which the system
// takes a sound part for the cause.
package main

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/dragonflyford/dragonflyford/review/simulator"
)

const (
	binary    = "target/dragonflyford"
	model     = "reader"
	notesPath = "/notes/"
	plansPath = "/plans/"
	// The parts of the prompts: the first one and the last shared one stand in all prompts of
	// a route, the one between them is the template.
	firstPart  = "a001"
	formatPart = "f00d"
	deadlyPart = "dead"

	contact      = 4 * time.Second // contact_ms of the sites
	settle       = 4 * time.Second // until engines have owners
	calm         = 20 * time.Second
	trouble      = 45 * time.Second
	soundPause   = 500 * time.Millisecond
	otherPause   = 400 * time.Millisecond
	deadlyPause  = 1200 * time.Millisecond
	minSound     = 20 // requests of each kind that the rule asks for
	countedCrash = 5
)

const configuration = `{"version":1,"routes":[
	{"name":"notes","host":"` + simulator.HostName + `","prefix":"` + notesPath + `","route_type":"streaming","timeout_ms":10000,"target_latency_ms":1000,"priority":0,"service":"reader-llm","max_attempts":1,"sticky":true,"can_resume":false,"gap_aim_ms":300},
	{"name":"plans","host":"` + simulator.HostName + `","prefix":"` + plansPath + `","route_type":"streaming","timeout_ms":10000,"target_latency_ms":1000,"priority":1,"service":"reader-llm","max_attempts":1,"sticky":true,"can_resume":false,"gap_aim_ms":300}],
	"services":[{"name":"reader-llm","health_path":"/health","max_conns":370,"protocol":"h1","tls":false,
	"engine":{"slots":64,"kv_capacity":132532,"models":[{"name":"` + model + `","weights_mb":65100,"load_time_s":1,"adapters":10,"adapter_mb":12}],"weights_mb":66600,"adapter_slots":20,"loads_per_s":2.1}}],
	"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`

func main() { simulator.Main(run) }

func run(r *simulator.Recorder, disrupt bool) error {
	near, far := simulator.Place{Zone: "lj-a", Region: "lj"}, simulator.Place{Zone: "mb-a", Region: "mb"}
	d, err := simulator.New(r, binary, false, near, near, far)
	if err != nil {
		return err
	}
	defer d.Close()
	workers, err := addWorkers(d)
	if err != nil {
		return err
	}
	d.Configure(configuration)
	if err := d.StartHosts(); err != nil {
		return err
	}
	time.Sleep(settle)

	stop := make(chan struct{})
	time.AfterFunc(calm+trouble, func() { close(stop) })
	sound, deadly, other := d.NewCaller(), d.NewCaller(), d.NewCaller()
	done := make(chan struct{}, 3)
	load := func(c *simulator.Caller, pause time.Duration, hosts []*simulator.Host, next func(int) simulator.Request) {
		go func() {
			c.Load(stop, pause, hosts, next)
			done <- struct{}{}
		}()
	}
	// The directory sends callers to the hosts of their own zone.
	load(sound, soundPause, d.Hosts()[:2], func(i int) simulator.Request {
		return request(notesPath, fmt.Sprintf("%s:800,b%03x:200,%s:100,c%06x:250", firstPart, i%4, formatPart, i))
	})
	load(other, otherPause, d.Hosts(), func(i int) simulator.Request {
		return request(plansPath, fmt.Sprintf("e001:800,e1%02x:200,d%06x:250", i%4, i))
	})
	began := r.Now()
	time.Sleep(calm)
	troubleAt := r.Now()
	if disrupt {
		r.Printf("requests with the part %s begin", deadlyPart)
		load(deadly, deadlyPause, d.Hosts(), func(i int) simulator.Request {
			return request(notesPath, fmt.Sprintf("%s:800,%s:200,%s:100,9%06x:250", firstPart, deadlyPart, formatPart, i))
		})
	} else {
		done <- struct{}{}
	}
	for range cap(done) {
		<-done
	}
	if d.AnyEnded() {
		return fmt.Errorf("a host ended by itself")
	}
	return judge(r, workers, sound.Answers(), deadly.Answers(), began, troubleAt)
}

func addWorkers(d *simulator.Deployment) ([]*simulator.Worker, error) {
	var workers []*simulator.Worker
	for i := range 6 {
		w, err := d.AddWorker(fmt.Sprintf("i-reader-%d", i), simulator.Options{
			Service: "reader-llm", Zone: []string{"lj-a", "mb-a"}[i%2], Slots: 64, Work: 50 * time.Millisecond, Events: 10, Pause: 15 * time.Millisecond,
			Base: model, Memory: 132532, Down: 2 * time.Second, Crashes: isDeadly,
		})
		if err != nil {
			return nil, err
		}
		workers = append(workers, w)
	}
	return workers, nil
}

func isDeadly(r *http.Request) bool { return hasDeadlyPart(r.Header.Get("X-Prompt-Prefix")) }

func hasDeadlyPart(parts string) bool { return strings.Contains(parts, deadlyPart) }

func request(path, parts string) simulator.Request {
	return simulator.Request{Method: http.MethodPost, Path: path, Wait: 10 * time.Second, Model: model, Tokens: "1350,10", Parts: parts, Body: "prompt"}
}

// judge compares how often sound requests begin at their first attempt, which is the only
// one here, outside the trouble and from 2 x contact_ms after the fifth crash on, or the last if
// there are fewer.
func judge(r *simulator.Recorder, workers []*simulator.Worker, sound, deadly []simulator.Answer, began, troubleAt time.Duration) error {
	ran := make(map[string]bool)
	var crashes []time.Duration
	for _, w := range workers {
		for _, run := range w.Runs() {
			ran[run.ID] = true
			if hasDeadlyPart(strings.Join(run.Parts, ",")) {
				crashes = append(crashes, run.At)
			}
		}
	}
	from := troubleAt
	for i, at := range slices.Sorted(slices.Values(crashes)) {
		if i < countedCrash {
			from = at
		}
	}
	from += 2 * contact
	until := r.Now()
	if len(deadly) > 0 {
		until = deadly[len(deadly)-1].SentAt // such requests still come
	}
	before, after := share{}, share{}
	for _, a := range sound {
		switch {
		case a.SentAt >= began && a.SentAt < troubleAt:
			before.add(ran[a.ID])
		case a.SentAt >= from && a.SentAt <= until:
			after.add(ran[a.ID])
		}
	}
	r.Printf("crashes: %d; sound requests that began: %d of %d before, %d of %d from %.1f s to %.1f s",
		len(crashes), before.begun, before.all, after.begun, after.all, from.Seconds(), until.Seconds())
	switch {
	case before.all < minSound || after.all < minSound:
		return fmt.Errorf("too few sound requests: %d and %d", before.all, after.all)
	case 2*after.rate() < before.rate():
		return fmt.Errorf("sound requests begin at a share of %.2f, before it was %.2f: %w", after.rate(), before.rate(), simulator.ErrBroken)
	}
	return nil
}

// share counts requests and those that began.
type share struct{ all, begun int }

func (s *share) add(begun bool) {
	s.all++
	if begun {
		s.begun++
	}
}

func (s *share) rate() float64 { return float64(s.begun) / float64(max(s.all, 1)) }
