package runner

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/dragonflyford/dragonflyford/viewer"
)

// Minimum intervals at which a peer is polled for the views of its engines. Peers
// of the same data centre are polled more often, because most requests stay there.
const (
	sameDataCentreInterval  = 250 * time.Millisecond
	otherDataCentreInterval = time.Second
	// The views of an owner that does not respond expire after minViewTTL, or after
	// viewTTLIntervals poll intervals if that is longer.
	minViewTTL       = 3 * time.Second
	viewTTLIntervals = 3
)

// Maximum polls per second of all peers together. Without these limits, a node in
// a fleet of 560 would send 614 polls per second, which takes 3.5% of a core and
// 70 KB/s. The minimum intervals apply up to 6 peers in the same data centre and
// up to 16 peers in others.
const (
	sameDataCentreRate  = 24
	otherDataCentreRate = 16
	// pollJitter is the maximum relative deviation of intervals that are longer than
	// the minimum. It keeps polls that begin together at startup from staying
	// synchronised.
	pollJitter = 0.25
)

// viewPoller fetches the views of other nodes' engines. One goroutine schedules
// the polls of all peers, and each poll runs in a goroutine of its own, so that a
// peer that hangs does not delay the others.
type viewPoller struct {
	peers      *peers
	views      *viewer.Viewer
	dataCentre string
	cancel     context.CancelFunc
	done       sync.WaitGroup

	mu    sync.Mutex
	state map[string]*pollState
}

// pollState is the state of polling one peer.
type pollState struct {
	polling    bool   // a poll is running
	version    uint64 // of the last response; the next poll requests later changes
	nextPoll   time.Time
	interval   time.Duration
	lastUpdate time.Time           // last successful poll
	engines    map[string]struct{} // engines with a view from this peer
}

func newViewPoller(p *peers, views *viewer.Viewer, dataCentre string) *viewPoller {
	ctx, cancel := context.WithCancel(context.Background())
	vp := &viewPoller{peers: p, views: views, dataCentre: dataCentre, cancel: cancel, state: make(map[string]*pollState)}
	vp.done.Go(func() { vp.run(ctx) })
	return vp
}

func (vp *viewPoller) run(ctx context.Context) {
	ticker := time.NewTicker(sameDataCentreInterval)
	defer ticker.Stop()
	for {
		vp.pollDue(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (vp *viewPoller) pollDue(ctx context.Context) {
	vp.mu.Lock()
	defer vp.mu.Unlock()
	now := time.Now()
	current := *vp.peers.byName.Load()
	sameDC, otherDC := vp.intervals(current)
	for name, p := range current {
		s := vp.state[name]
		if s == nil {
			s = &pollState{lastUpdate: now, engines: make(map[string]struct{})}
			vp.state[name] = s
		}
		s.interval = otherDC
		if p.member.DataCentre() == vp.dataCentre {
			s.interval = sameDC
		}
		if !s.polling && !now.Before(s.nextPoll) {
			s.polling, s.nextPoll = true, now.Add(jitter(s.interval))
			vp.done.Go(func() { vp.poll(ctx, p, s) })
		}
	}
	for name, s := range vp.state {
		if current[name] == nil || now.Sub(s.lastUpdate) > max(minViewTTL, viewTTLIntervals*s.interval) {
			vp.removeViews(name, s)
		}
		if current[name] == nil && !s.polling {
			delete(vp.state, name)
		}
	}
}

// intervals returns the poll intervals of peers in the same data centre and of
// peers in others.
func (vp *viewPoller) intervals(current map[string]*peer) (sameDC, otherDC time.Duration) {
	count := 0
	for _, p := range current {
		if p.member.DataCentre() == vp.dataCentre {
			count++
		}
	}
	sameDC = max(sameDataCentreInterval, time.Duration(count)*time.Second/sameDataCentreRate)
	otherDC = max(otherDataCentreInterval, time.Duration(len(current)-count)*time.Second/otherDataCentreRate)
	return sameDC, otherDC
}

func jitter(d time.Duration) time.Duration {
	if d <= otherDataCentreInterval {
		return d
	}
	return time.Duration(float64(d) * (1 + pollJitter*(2*rand.Float64()-1)))
}

// poll fetches the views of a peer that changed since the last response.
func (vp *viewPoller) poll(ctx context.Context, p *peer, s *pollState) {
	vp.mu.Lock()
	since := s.version
	vp.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	answer, err := p.State(ctx, since)
	vp.mu.Lock()
	defer vp.mu.Unlock()
	s.polling = false
	if err != nil {
		// The peer may have restarted, which resets its version counter.
		s.version = 0
		return
	}
	if answer.Full() {
		vp.removeViews(p.member.Name(), s)
	}
	s.version, s.lastUpdate = answer.Version(), time.Now()
	for _, v := range answer.Views() {
		s.engines[v.Engine()] = struct{}{}
	}
	vp.views.Update(answer.Views()...)
}

// removeViews removes the views of a peer, except those that another owner has
// replaced. The caller must hold mu.
func (vp *viewPoller) removeViews(name string, s *pollState) {
	views := vp.views.Load()
	for engine := range s.engines {
		if v := views.Engine(engine); v != nil && v.Owner() == name {
			vp.views.Remove(engine)
		}
		delete(s.engines, engine)
	}
	s.version = 0
}

func (vp *viewPoller) close() {
	vp.cancel()
	vp.done.Wait()
}
