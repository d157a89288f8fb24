package soaker_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/dragonflyford/dragonflyford/platform/emulator"
)

// seen is what a caller saw of one call.
type seen struct {
	kind   string
	status int  // 0 without an answer
	whole  bool // the body ended as it should
	left   bool // the caller went away or its deadline passed
	// planned is set for calls that were under way while only planned work went on.
	planned bool
}

// timerMargin is by how much the timers of a caller and of a host may differ.
const timerMargin = 100 * time.Millisecond

// callers send calls as the platform's callers do: they ask a directory which
// hosts to use, keep the answer for a while and use open connections until these
// break.
type callers struct {
	world  *world
	mu     sync.Mutex
	calls  map[string]seen
	counts map[string]int
	faults []string // broken promises
	// planned is set while planned work goes on and nothing else is wrong.
	planned atomic.Bool
}

func newCallers(w *world) *callers {
	return &callers{world: w, calls: make(map[string]seen), counts: make(map[string]int)}
}

func (c *callers) fail(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faults = append(c.faults, fmt.Sprintf(format, args...))
}

// run sends calls from one caller until ctx ends.
func (c *callers) run(ctx context.Context, n int, random *rand.Rand) {
	client := &http.Client{Transport: &http.Transport{
		DialContext: (&net.Dialer{Timeout: time.Second}).DialContext, MaxIdleConnsPerHost: 4,
	}}
	var list []string
	var asked time.Time
	for i := 0; ctx.Err() == nil; i++ {
		if time.Since(asked) > 2*time.Second || len(list) == 0 {
			if fresh := c.resolve(random, zone(n)); len(fresh) > 0 {
				list, asked = fresh, time.Now()
			}
		}
		if len(list) == 0 {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		c.call(ctx, client, list[random.IntN(len(list))], fmt.Sprintf("c%d-%d", n, i), random)
		time.Sleep(time.Duration(random.IntN(40)) * time.Millisecond)
	}
}

func (c *callers) resolve(random *rand.Rand, zone string) []string {
	h := c.world.hosts[random.IntN(len(c.world.hosts))]
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get(emulator.DirectoryURL(c.world.at(h, 2), "h", "r1", zone))
	if err != nil {
		return nil
	}
	defer func() { _ = resp.Body.Close() }()
	list, life, err := emulator.ReadDirectory(resp.Body)
	if err != nil || life <= 0 {
		return nil
	}
	return list
}

// call sends one call of a random kind and checks its answer. Some callers leave
// early.
func (c *callers) call(ctx context.Context, client *http.Client, address, id string, random *rand.Rand) {
	kinds := []string{"post", "post", "look", "llm", "llm", "llm"}
	kind := kinds[random.IntN(len(kinds))]
	patience := 4 * time.Second
	if random.IntN(20) == 0 {
		patience = time.Duration(random.IntN(300)) * time.Millisecond
	}
	limited, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	model := ""
	if kind == "llm" {
		model = fmt.Sprint("m/a", int(float64(adapters)*random.Float64()*random.Float64()))
	}
	req, err := emulator.NewCall(id, "h", "/"+kind+"/x", "body", patience, model).Request(limited, address)
	if err != nil {
		c.fail("build request: %v", err)
		return
	}
	got := seen{kind: kind, planned: c.planned.Load()}
	resp, err := client.Do(req)
	if err == nil {
		got.status = resp.StatusCode
		body, rerr := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		got.whole = rerr == nil
		c.check(id, kind, resp, string(body), rerr)
	}
	// A host may end a call at its deadline, just before the caller's own timer.
	end, _ := limited.Deadline()
	got.left = ctx.Err() != nil || time.Until(end) < timerMargin
	got.planned = got.planned && c.planned.Load()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls[id] = got
	c.counts[fmt.Sprintf("%s %d %v", kind, got.status, got.whole)]++
}

// check looks at an answer: it must be the whole answer to its own call.
func (c *callers) check(id, kind string, resp *http.Response, body string, err error) {
	if resp.StatusCode == http.StatusOK && !emulator.Signed(resp.Header, id) {
		c.fail("%s: answer with another signature", id)
	}
	if resp.StatusCode != http.StatusOK {
		return
	}
	if kind != "llm" {
		if err == nil && body != "answer to "+id {
			c.fail("%s: answer %q", id, body)
		}
		return
	}
	next := 0
	for line := range strings.Lines(body) {
		var event int
		if _, serr := fmt.Sscanf(line, "data: %d\n", &event); serr != nil || !strings.HasSuffix(line, "\n") {
			continue
		}
		if event != next {
			c.fail("%s: event %d where %d is due", id, event, next)
			return
		}
		next++
	}
	if err == nil && next != events {
		c.fail("%s: stream looks complete after %d of %d events", id, next, events)
	}
}

// judge compares what callers saw with what endpoints did.
func (c *callers) judge() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	faults := append([]string(nil), c.faults...)
	runs := make(map[string]int)
	for _, e := range c.world.endpoints {
		for id, n := range e.Runs() {
			runs[id] += n
		}
		for _, rule := range e.Violations() {
			faults = append(faults, e.ID()+": "+rule)
		}
	}
	for id, s := range c.calls {
		switch {
		case s.kind == "post" && runs[id] > 1:
			faults = append(faults, fmt.Sprintf("%s: a posting ran %d times", id, runs[id]))
		case s.status == http.StatusServiceUnavailable && runs[id] > 0:
			faults = append(faults, fmt.Sprintf("%s: %s refused as not run, but ran %d times", id, s.kind, runs[id]))
		}
		if s.planned && !s.whole && !s.left && runs[id] > 0 {
			faults = append(faults, fmt.Sprintf("%s: %s ran and was cut by planned work", id, s.kind))
		}
		if runs[id] > 2 {
			faults = append(faults, fmt.Sprintf("%s: ran on %d endpoints", id, runs[id]))
		}
	}
	for id := range runs {
		if _, ok := c.calls[id]; !ok && !strings.HasPrefix(id, "probe") {
			faults = append(faults, id+": ran, but no caller sent it")
		}
	}
	return faults
}

// orders checks that two hosts did not take turns in giving an endpoint orders.
func (w *world) orders() []string {
	var faults []string
	for _, e := range w.endpoints {
		list := e.Orders()
		for i := 1; i < len(list); i++ {
			a, b := list[i-1], list[i]
			if a.Holder() != b.Holder() && b.At().Sub(a.At()) < turnsTime {
				faults = append(faults, fmt.Sprintf("%s: orders of %s and %s within %v", e.ID(), a.Holder(), b.Holder(), b.At().Sub(a.At())))
			}
			if b.Fence() < a.Fence() {
				faults = append(faults, fmt.Sprintf("%s: token %d of %s after %d of %s", e.ID(), b.Fence(), b.Holder(), a.Fence(), a.Holder()))
			}
		}
	}
	return faults
}

var errNotServed = errors.New("call was not served")

// probe sends a call to one host on a path and returns its status.
func (w *world) probe(h *host, path string, n int) (int, error) {
	client := http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	call := emulator.NewCall(fmt.Sprintf("probe-%s-%d", h.name, n), "h", path, "", 2*time.Second, "")
	req, err := call.Request(context.Background(), w.at(h, 0))
	if err != nil {
		return 0, err
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, errNotServed
	}
	defer func() { _ = resp.Body.Close() }()
	return resp.StatusCode, nil
}
