package assembler_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dragonflyford/dragonflyford/platform/emulator"
)

// The stated bound on the requests to an endpoint that names a limit, over all hosts in
// any limitWindow: limitExcess times what the limit allows, and limitSlack more.
const (
	limitWindow = 4 * time.Second
	limitExcess = 1.5
	limitSlack  = 5
)

// mostArrivals returns the most calls that arrived within limitWindow after from.
func mostArrivals(arrivals []time.Time, from time.Time) int {
	most, first := 0, 0
	for i, at := range arrivals {
		for arrivals[first].Before(from) || at.Sub(arrivals[first]) > limitWindow {
			if first == i {
				break
			}
			first++
		}
		if at.After(from) {
			most = max(most, i-first+1)
		}
	}
	return most
}

// Guards against hosts that together send an endpoint far more requests than the rate
// that it names, also when a host joins or restarts, and against an endpoint that gets
// none, or that stays limited when it no longer names a rate.
func TestNamedLimit(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := newDeployment(t)
	for _, host := range []string{hostA, hostB} {
		d.start(host)
	}
	const rate = 4.0
	d.plain.Inject(emulator.NewNamesLimit(rate))
	began := time.Now()
	ctx, cancel := context.WithCancel(t.Context())
	var callers sync.WaitGroup
	for c := range 6 {
		callers.Go(func() {
			client := &http.Client{Transport: &http.Transport{}}
			for i := 0; ctx.Err() == nil; i++ {
				host := []string{hostA, hostB, "3"}[c%3]
				_, _, _ = d.call(client, host, fmt.Sprint("c", c, "-", i), "/look/x", "") // host 3 starts later
				time.Sleep(60 * time.Millisecond)
			}
		})
	}
	time.Sleep(3 * time.Second)
	d.start("3")
	time.Sleep(3 * time.Second)
	d.restartAll(hostB)
	time.Sleep(4 * time.Second)
	arrivals := d.plain.Arrivals()
	most := mostArrivals(arrivals, began.Add(time.Second))
	if bound := int(limitExcess*rate*limitWindow.Seconds()) + limitSlack; most > bound {
		t.Errorf("%d requests within %v, at most %d may", most, limitWindow, bound)
	}
	if least := int(rate * time.Since(began).Seconds() / 2); len(arrivals) < least {
		t.Errorf("%d requests in %v, at least %d were to be served", len(arrivals), time.Since(began), least)
	}
	d.plain.Inject(emulator.HealthyEndpoint{})
	time.Sleep(2 * time.Second)
	before := len(d.plain.Arrivals())
	time.Sleep(time.Second)
	is.True(len(d.plain.Arrivals())-before > 4*int(rate)) // full speed again
	cancel()
	callers.Wait()
}
