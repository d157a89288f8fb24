package permitter_test

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/dragonflyford/dragonflyford/enroller"
	"github.com/dragonflyford/dragonflyford/limiter"
	"github.com/dragonflyford/dragonflyford/logger"
	"github.com/dragonflyford/dragonflyford/permitter"
	"github.com/dragonflyford/dragonflyford/storer"
	"github.com/dragonflyford/dragonflyford/tracker"
)

// cluster is a set of hosts that reach each other unless they are cut off.
type cluster struct {
	rows  map[string]storer.Change
	next  storer.Version
	hosts map[string]*host
	cut   map[string]bool
	lag   time.Duration // until the other hosts see a row
}

type host struct {
	*permitter.Permitter
	*enroller.Enroller
	fleet   *tracker.Tracker
	cluster *cluster
}

// View resolves the ambiguity between the embedded types.
func (h *host) View() *enroller.View { return h.Enroller.View() }

// Commit keeps the rows of hosts and passes them to all of them.
func (c *cluster) Commit(_ context.Context, writes ...storer.Write) (storer.Version, error) {
	c.next++
	var changes []storer.Change
	for _, w := range writes {
		if put, ok := w.(storer.Put); ok {
			change := storer.NewChange(storer.NewRow(put.Key(), put.Value(), c.next))
			c.rows[put.Key()] = change
			changes = append(changes, change)
		}
	}
	version, hosts := c.next, maps.Clone(c.hosts)
	deliver := func() {
		for _, h := range hosts {
			h.Enroller.Apply(changes)
			h.Contact(version, 0, 0)
		}
	}
	if c.lag == 0 {
		deliver()
	} else {
		time.AfterFunc(c.lag, deliver)
	}
	return version, nil
}

// contact tells each host that the store answers.
func (c *cluster) contact() {
	for _, h := range c.hosts {
		h.Contact(c.next, 0, 0)
	}
}

var errCut = errors.New("host is cut off")

// remote sends requests of one host to the others.
type remote struct {
	cluster *cluster
	from    string
}

func (r remote) Admit(_ context.Context, address string, request permitter.Request) (permitter.Response, error) {
	if r.cluster.cut[r.from] || r.cluster.cut[address] {
		return permitter.Response{}, errCut
	}
	return r.cluster.hosts[address].Grant(request), nil
}

func newCluster(t *testing.T, n int) *cluster {
	t.Helper()
	c := &cluster{rows: make(map[string]storer.Change), hosts: make(map[string]*host), cut: make(map[string]bool)}
	for i := range n {
		c.join(t, fmt.Sprint("h", i))
	}
	return c
}

// join adds a host.
func (c *cluster) join(t *testing.T, name string) *host {
	t.Helper()
	timing := enroller.NewTiming(time.Second, 5*time.Second, time.Second, time.Second, time.Hour)
	members := enroller.New(enroller.NewLocalHost(name, name, name, "z", "r", 0), timing, c, logger.Nop())
	fleet := tracker.New(nil)
	fleet.Upsert(tracker.NewEntry("e", "svc", "1.1.1.1:1", "z", 8, false, 1, nil))
	h := &host{Enroller: members, fleet: fleet, cluster: c}
	h.Permitter = permitter.New(remote{c, name}, members, fleet)
	c.hosts[name] = h
	ctx, cancel := context.WithCancel(t.Context())
	go members.Run(ctx)
	time.Sleep(10 * time.Millisecond) // its row is written, and does not expire
	cancel()
	synctest.Wait()
	for _, row := range c.rows {
		members.Apply([]storer.Change{row})
	}
	return h
}

func (h *host) endpoint() *tracker.Endpoint { return h.fleet.Current().Endpoint("e") }

// send asks for a turn for each of n calls, and returns how many were granted.
func (h *host) send(t *testing.T, n int) int {
	t.Helper()
	granted := 0
	for range n {
		if _, ok := h.Admit(t.Context(), h.endpoint(), 0).(limiter.Granted); ok {
			granted++
		}
	}
	return granted
}

// Guards against hosts that each keep to a named rate while all of them together do not,
// against a rate that is hardly used, and against a limit that stays after its end.
func TestHostsShareRate(t *testing.T) {
	const rate, seconds = 4.0, 10
	tests := []struct {
		name  string
		hosts int
		event func(t *testing.T, c *cluster) // in the middle
		least int
	}{
		{"one host", 1, nil, 30},
		{"eight hosts", 8, nil, 30},
		{"two hundred hosts", 200, nil, 30},
		{"a host joins", 4, func(t *testing.T, c *cluster) {
			h := c.join(t, "late")
			h.endpoint().RecordLimit(tracker.NewLimit(rate, time.Now()))
		}, 30},
		{"all hosts are cut off from each other", 8, func(_ *testing.T, c *cluster) {
			for name := range c.hosts {
				c.cut[name] = true
			}
		}, 15},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				c := newCluster(t, tt.hosts)
				for _, h := range c.hosts {
					h.ObserveLimit(h.endpoint(), tracker.NewLimit(rate, time.Now()))
				}
				granted := 0
				time.Sleep(3*time.Second + time.Millisecond) // all hosts know each other
				for i := range seconds * 20 {
					c.contact()
					if i == seconds*10 && tt.event != nil {
						tt.event(t, c)
					}
					for _, h := range c.hosts {
						granted += h.send(t, 1)
						h.endpoint().RecordLimit(tracker.NewLimit(rate, time.Now()))
					}
					time.Sleep(50 * time.Millisecond)
				}
				is.True(granted <= int(rate*seconds)+5)
				is.True(granted >= tt.least)
				for _, h := range c.hosts {
					h.endpoint().RecordLimit(tracker.NewNoLimit(time.Now().Add(2 * time.Second)))
				}
				for _, h := range c.hosts {
					is.Equal(h.send(t, 10), 10)
				}
			})
		})
	}
}

// Guards against two hosts that both space the requests to an endpoint at its whole rate,
// because one of them has joined or is leaving and the others do not know yet.
func TestHostsDisagree(t *testing.T) {
	const (
		rate   = 4.0
		lag    = 2 * time.Second
		window = 4 * time.Second
		step   = 50 * time.Millisecond
	)
	tests := []struct {
		name  string
		event func(t *testing.T, c *cluster) *host // returns the host that others misjudge
	}{
		{"the first choice leaves", func(t *testing.T, c *cluster) *host {
			first := c.hosts[c.hosts["h0"].View().FirstChoice(c.hosts["h0"].endpoint())]
			first.Leave(t.Context())
			return first
		}},
		{"a new first choice joins", func(t *testing.T, c *cluster) *host {
			for i := 0; ; i++ {
				h := c.join(t, fmt.Sprint("late", i))
				h.endpoint().RecordLimit(tracker.NewLimit(rate, time.Now()))
				if h.View().FirstChoice(h.endpoint()) == h.Self() {
					return h
				}
				delete(c.hosts, h.Self())
				delete(c.rows, "host/"+h.Self())
			}
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, 4)
				time.Sleep(3*time.Second + time.Millisecond) // all hosts know each other
				for _, h := range c.hosts {
					h.endpoint().RecordLimit(tracker.NewLimit(rate, time.Now()))
				}
				c.lag = lag
				var arrivals []time.Time
				hosts := maps.Clone(c.hosts)
				for began := time.Now(); time.Since(began) < 3*window; time.Sleep(step) {
					if since := time.Since(began); since >= window && since < window+step {
						h := tt.event(t, c)
						hosts[h.Self()] = h
					}
					c.contact()
					for _, h := range hosts {
						h.endpoint().RecordLimit(tracker.NewLimit(rate, time.Now()))
						if g, ok := h.Admit(t.Context(), h.endpoint(), window/10).(limiter.Granted); ok {
							arrivals = append(arrivals, time.Now().Add(g.Wait()))
						}
					}
				}
				slices.SortFunc(arrivals, time.Time.Compare)
				for i, first := range arrivals {
					n := 0
					for _, at := range arrivals[i:] {
						if at.Sub(first) <= window {
							n++
						}
					}
					if bound := int(1.5 * rate * window.Seconds()); n > bound {
						t.Fatalf("%d requests within %v, at most %d may", n, window, bound)
					}
				}
			})
		})
	}
}

// Guards against a host that does not hear of a limit, or of its end, until it has sent
// requests of its own, and against news of an endpoint process that is gone.
func TestNews(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t, 2)
		a, b := c.hosts["h0"], c.hosts["h1"]
		limited := func(h *host) bool {
			_, ok := h.endpoint().Limit(time.Now())
			return ok
		}
		is.True(!a.ObserveLimit(a.endpoint(), tracker.NewNoLimit(time.Now()))) // no news
		is.True(a.ObserveLimit(a.endpoint(), tracker.NewLimit(3, time.Now())))
		time.Sleep(time.Millisecond)
		is.True(!a.ObserveLimit(a.endpoint(), tracker.NewLimit(3.1, time.Now()))) // nearly the same
		b.Learn(a.TakeUnsent())
		is.True(limited(b))
		is.Equal(len(a.TakeUnsent()), 0)
		is.Equal(len(b.TakeUnsent()), 0) // news of others is not told again
		b.Learn([]permitter.Report{permitter.NewReport("e", 2, tracker.NewNoLimit(time.Now())), permitter.NewReport("gone", 1, tracker.NewLimit(1, time.Now()))})
		is.True(limited(b))

		is.True(!a.ObserveLimit(a.endpoint(), tracker.NewNoLimit(time.Now()))) // sent before the limit was named
		time.Sleep(2 * time.Second)
		is.True(a.ObserveLimit(a.endpoint(), tracker.NewNoLimit(time.Now())))
		b.Learn(a.TakeUnsent())
		is.True(!limited(a))
		is.True(!limited(b))

		a.ObserveLimit(a.endpoint(), tracker.NewLimit(3, time.Now()))
		time.Sleep(time.Minute)
		is.True(!limited(a)) // not named any more
	})
}
