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

// callResult is the outcome of one call as its caller observed it.
type callResult struct {
	kind      string
	status    int  // 0 if there was no response
	complete  bool // the body was read to its end without an error
	abandoned bool // the caller was cancelled or its deadline passed
	// planned is set if the call ran entirely during planned work, when no fault
	// was injected.
	planned bool
}

// timerMargin is the tolerated difference between the deadline timers of a caller
// and of a host.
const timerMargin = 100 * time.Millisecond

// callers sends calls as the platform's callers do: each caller resolves the hosts
// through the directory, caches the addresses for a while and reuses open
// connections until they break.
type callers struct {
	cluster    *cluster
	mu         sync.Mutex
	calls      map[string]callResult
	counts     map[string]int
	violations []string // broken promises
	// planned is set while planned work is in progress and no fault is injected.
	planned atomic.Bool
}

func newCallers(cl *cluster) *callers {
	return &callers{cluster: cl, calls: make(map[string]callResult), counts: make(map[string]int)}
}

func (c *callers) addViolation(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

// run sends calls from one caller until ctx ends.
func (c *callers) run(ctx context.Context, n int, random *rand.Rand) {
	client := &http.Client{Transport: &http.Transport{
		DialContext: (&net.Dialer{Timeout: time.Second}).DialContext, MaxIdleConnsPerHost: 4,
	}}
	var addresses []string
	var resolvedAt time.Time
	for i := 0; ctx.Err() == nil; i++ {
		if time.Since(resolvedAt) > 2*time.Second || len(addresses) == 0 {
			if fresh := c.resolve(random, dataCentre(n)); len(fresh) > 0 {
				addresses, resolvedAt = fresh, time.Now()
			}
		}
		if len(addresses) == 0 {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		c.call(ctx, client, addresses[random.IntN(len(addresses))], fmt.Sprintf("c%d-%d", n, i), random)
		time.Sleep(time.Duration(random.IntN(40)) * time.Millisecond)
	}
}

func (c *callers) resolve(random *rand.Rand, dataCentre string) []string {
	h := c.cluster.hosts[random.IntN(len(c.cluster.hosts))]
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get(emulator.DirectoryURL(c.cluster.addr(h, 2), "h", "r1", dataCentre))
	if err != nil {
		return nil
	}
	defer func() { _ = resp.Body.Close() }()
	addresses, ttl, err := emulator.ReadDirectory(resp.Body)
	if err != nil || ttl <= 0 {
		return nil
	}
	return addresses
}

// call sends one call of a random kind and checks its response. One call in 20
// has a timeout below 300 ms, so that some callers give up early.
func (c *callers) call(ctx context.Context, client *http.Client, address, id string, random *rand.Rand) {
	kinds := []string{"post", "post", "look", "llm", "llm", "llm"}
	kind := kinds[random.IntN(len(kinds))]
	timeout := 4 * time.Second
	if random.IntN(20) == 0 {
		timeout = time.Duration(random.IntN(300)) * time.Millisecond
	}
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	model := ""
	if kind == "llm" {
		model = fmt.Sprint("m/a", int(float64(adapterCount)*random.Float64()*random.Float64()))
	}
	req, err := emulator.NewCall(id, "h", "/"+kind+"/x", "body", timeout, model).Request(callCtx, address)
	if err != nil {
		c.addViolation("build request: %v", err)
		return
	}
	got := callResult{kind: kind, planned: c.planned.Load()}
	resp, err := client.Do(req)
	if err == nil {
		got.status = resp.StatusCode
		body, rerr := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		got.complete = rerr == nil
		c.check(id, kind, resp, string(body), rerr)
	}
	// A host may end a call at its deadline, just before the caller's own timer
	// fires.
	end, _ := callCtx.Deadline()
	got.abandoned = ctx.Err() != nil || time.Until(end) < timerMargin
	got.planned = got.planned && c.planned.Load()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls[id] = got
	c.counts[fmt.Sprintf("%s %d %v", kind, got.status, got.complete)]++
}

// check verifies that a successful response belongs to the call and is complete,
// unless reading it failed with err.
func (c *callers) check(id, kind string, resp *http.Response, body string, err error) {
	if resp.StatusCode == http.StatusOK && !emulator.Signed(resp.Header, id) {
		c.addViolation("%s: response is not signed for this call", id)
	}
	if resp.StatusCode != http.StatusOK {
		return
	}
	if kind != "llm" {
		if err == nil && body != "answer to "+id {
			c.addViolation("%s: unexpected response body %q", id, body)
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
			c.addViolation("%s: got stream event %d; expected %d", id, event, next)
			return
		}
		next++
	}
	if err == nil && next != streamEvents {
		c.addViolation("%s: stream ended without an error after %d of %d events", id, next, streamEvents)
	}
}

// checkResults compares the callers' results with the calls that the endpoints ran
// and returns all violations.
func (c *callers) checkResults() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	violations := append([]string(nil), c.violations...)
	runs := make(map[string]int)
	for _, e := range c.cluster.endpoints {
		for id, n := range e.Runs() {
			runs[id] += n
		}
		for _, rule := range e.Violations() {
			violations = append(violations, e.ID()+": "+rule)
		}
	}
	for id, got := range c.calls {
		switch {
		case got.kind == "post" && runs[id] > 1:
			violations = append(violations, fmt.Sprintf("%s: non-idempotent call ran %d times", id, runs[id]))
		case got.status == http.StatusServiceUnavailable && runs[id] > 0:
			violations = append(violations, fmt.Sprintf("%s: %s call was refused as not run but ran %d times", id, got.kind, runs[id]))
		}
		if got.planned && !got.complete && !got.abandoned && runs[id] > 0 {
			violations = append(violations, fmt.Sprintf("%s: %s call ran and was interrupted by planned work", id, got.kind))
		}
		if runs[id] > 2 {
			violations = append(violations, fmt.Sprintf("%s: call ran %d times on all endpoints", id, runs[id]))
		}
	}
	for id := range runs {
		if _, ok := c.calls[id]; !ok && !strings.HasPrefix(id, "probe") {
			violations = append(violations, id+": call ran, but no caller sent it")
		}
	}
	return violations
}

// checkOrders checks that no endpoint accepted orders of two hosts within the
// takeover delay, and that the fencing tokens it accepted never decreased.
func (cl *cluster) checkOrders() []string {
	var violations []string
	for _, e := range cl.endpoints {
		orders := e.Orders()
		for i := 1; i < len(orders); i++ {
			a, b := orders[i-1], orders[i]
			if a.Holder() != b.Holder() && b.At().Sub(a.At()) < takeoverDelay {
				violations = append(violations, fmt.Sprintf("%s: accepted orders of %s and %s within %v", e.ID(), a.Holder(), b.Holder(), b.At().Sub(a.At())))
			}
			if b.Fence() < a.Fence() {
				violations = append(violations, fmt.Sprintf("%s: accepted fencing token %d of %s after %d of %s", e.ID(), b.Fence(), b.Holder(), a.Fence(), a.Holder()))
			}
		}
	}
	return violations
}

var errNotServed = errors.New("probe call failed without a response")

// probe sends a call for path to one host and returns the response status.
func (cl *cluster) probe(h *host, path string, n int) (int, error) {
	client := http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	call := emulator.NewCall(fmt.Sprintf("probe-%s-%d", h.name, n), "h", path, "", 2*time.Second, "")
	req, err := call.Request(context.Background(), cl.addr(h, 0))
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
