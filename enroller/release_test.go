package enroller_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/dragonflyford/dragonflyford/enroller"
)

// entries are the engines that have an entry.
type entries struct {
	mu      sync.Mutex
	missing bool // all of them
}

func (s *entries) setMissing(missing bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.missing = missing
}

func (s *entries) list() []enroller.Engine {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.missing {
		return nil
	}
	return engines
}

func (s *entries) live(string) bool { return len(s.list()) > 0 }

// reconcile does what a host does for the engines that have an entry, until ctx is done.
func (h *host) reconcile(ctx context.Context, s *entries) {
	for ctx.Err() == nil {
		h.Claim(ctx, s.list())
		h.Release(ctx, s.live)
		time.Sleep(500 * time.Millisecond)
	}
}

// Guards against two hosts that send orders to an engine in turn because its owner deletes
// the owner row of an engine that goes on: its entry is missing for some seconds, or comes
// back while the row is being deleted; the owner reads the table late, or the answers to
// its writes are lost.
func TestMissingEntry(t *testing.T) {
	const longMissing = 31 * time.Second // until orders stop: 25 reports of 1.2 s, and the next look
	tests := []struct {
		name    string
		missing time.Duration
		disturb func(a *host) // once the entries are missing
	}{
		{"for some seconds", 11 * time.Second, func(*host) {}},
		{"for some seconds, owner reads the table late", 11 * time.Second, func(a *host) { a.blind.Store(true) }},
		{"until orders stop", longMissing, func(*host) {}},
		{"until rows are deleted", longMissing + takeoverDelay, func(*host) {}},
		{"for long", longMissing + 20*time.Second, func(*host) {}},
		{"answers to deletions are lost", longMissing + takeoverDelay, func(a *host) {
			a.table.mu.Lock()
			a.table.lost[a.name] = true
			a.table.mu.Unlock()
		}},
		{"deletions fail", longMissing + takeoverDelay, func(a *host) {
			a.table.mu.Lock()
			a.table.deletionsFail = true
			a.table.mu.Unlock()
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				tab, s := newTable(), &entries{}
				a, b := join(tab, "h1", "z1"), join(tab, "h2", "z1")
				ctx, cancel := context.WithCancel(t.Context())
				var running sync.WaitGroup
				defer running.Wait()
				defer cancel()
				defer watch(t, 3*time.Second, a, b)()
				for _, h := range []*host{a, b} { // the first one owns all engines
					running.Go(func() { h.run(ctx) })
					running.Go(func() { h.reconcile(ctx, s) })
					time.Sleep(8 * time.Second)
				}
				is.Equal(owned(a), len(engines))
				s.setMissing(true)
				tt.disturb(a)
				time.Sleep(tt.missing)
				s.setMissing(false)
				time.Sleep(2 * time.Second)
				a.blind.Store(false)
				tab.mu.Lock()
				tab.lost[a.name], tab.deletionsFail = false, false
				tab.mu.Unlock()
				time.Sleep(15 * time.Second)
				is.Equal(owned(a)+owned(b), len(engines))
			})
		})
	}
}

// Guards against a time until orders stop that holds for one interval of reports only.
func TestReportInterval(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tab, s := newTable(), &entries{}
		a := join(tab, "h1", "z1", enroller.WithReportInterval(4*time.Second))
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		defer running.Wait()
		defer cancel()
		running.Go(func() { a.run(ctx) })
		running.Go(func() { a.reconcile(ctx, s) })
		time.Sleep(8 * time.Second)
		s.setMissing(true)
		time.Sleep(98 * time.Second)
		is.Equal(owned(a), len(engines))
		time.Sleep(4 * time.Second)
		is.Equal(owned(a), 0)
	})
}
