package assembler

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"

	"github.com/dragonflyford/dragonflyford/acceptor"
	"github.com/dragonflyford/dragonflyford/configurer"
	"github.com/dragonflyford/dragonflyford/enroller"
	"github.com/dragonflyford/dragonflyford/logger"
	"github.com/dragonflyford/dragonflyford/platform"
	"github.com/dragonflyford/dragonflyford/referrer"
	"github.com/dragonflyford/dragonflyford/sleeper"
	"github.com/dragonflyford/dragonflyford/transporter"
)

const (
	reconcileInterval = 500 * time.Millisecond
	cleanupInterval   = 10 * time.Second
	// acceptDuration is how long a stopping host still accepts connections:
	// callers cache the last directory response that lists it for referrer.TTL.
	acceptDuration = 2700 * time.Millisecond
	// exitReserve is the part of the grace time that is reserved for the
	// process to exit.
	exitReserve = 300 * time.Millisecond
	// peerAckTimeout is how long a connection of another host stays open, and counts, while
	// that host acknowledges nothing. The other end gives up earlier (messenger).
	peerAckTimeout = 5 * time.Second
)

// Run serves until ctx is done and then performs a planned stop. For each value
// received from reload, it reads the settings again.
func (h *Host) Run(ctx context.Context, reload <-chan os.Signal, read func() (*configurer.Entry, error)) error {
	settings := h.settings.Load()
	h.log.Info("started", logger.With(logger.KeyPeer, settings.Address()))
	work, cancel := context.WithCancel(context.WithoutCancel(ctx))
	var running sync.WaitGroup
	var servers []*http.Server
	defer func() {
		cancel()
		for _, s := range servers {
			_ = s.Close() // already closed, unless listening on an address failed
		}
		running.Wait()
		h.close()
		h.log.Info("stopped")
	}()
	callers := h.newServer(h.frontEnd)
	inFlight := countInFlight(callers)
	servers = []*http.Server{callers, h.newOtherServer(platform.NewReadinessHandler(h.ready)), h.newOtherServer(h.directory()), h.newOtherServer(h.metrics())}
	addresses := []string{settings.Callers(), settings.Readiness(), settings.Directory(), settings.Metrics()}
	for i, server := range servers {
		limits := h.otherLimits()
		if server == callers {
			limits = h.connectionLimits()
		}
		if err := h.serve(work, &running, server, addresses[i], limits); err != nil {
			return err
		}
	}
	if err := h.servePeers(work, &running); err != nil {
		return err
	}
	h.startTasks(work, &running)
	running.Go(func() { h.reloadSettings(work, reload, read) })
	<-ctx.Done()
	h.stop(work, servers, inFlight)
	return nil
}

// servePeers serves the other hosts until ctx ends.
func (h *Host) servePeers(ctx context.Context, running *sync.WaitGroup) error {
	listener, err := transporter.Listen(ctx, h.settings.Load().Peers(), peerAckTimeout)
	if err != nil {
		return fmt.Errorf("listen for peers: %w", err)
	}
	peers := acceptor.NewLimited(listener, h.capacity.peers, h.recordConnection)
	h.peerListener.Store(peers)
	running.Go(func() {
		if err := h.messenger.Serve(ctx, peers); err != nil && ctx.Err() == nil {
			h.log.Error("peers-not-served", logger.Err(err))
		}
	})
	return nil
}

// startTasks starts the background tasks, which run until ctx ends.
func (h *Host) startTasks(ctx context.Context, running *sync.WaitGroup) {
	peers := h.settings.Load().Peers()
	for _, f := range h.followers {
		running.Go(func() { f.Run(ctx) })
	}
	running.Go(func() { h.members.Run(ctx) })
	running.Go(func() {
		if err := h.pinger.Run(ctx, peers); err != nil {
			h.log.Error("heartbeats-not-sent", logger.Err(err))
		}
	})
	running.Go(func() { h.reconcile(ctx) })
	running.Go(func() { h.recordClients(ctx) })
	running.Go(func() { h.evidence.run(ctx, func() { h.judgeCrashes(ctx) }) })
	running.Go(func() { h.limits.run(ctx, func() {}) })
	running.Go(func() { h.allotter.Run(ctx) })
	running.Go(func() { h.storeQuarantine(ctx) })
	running.Go(func() { h.archiver.Run(ctx) })
	running.Go(func() { h.replicator.Run(ctx) })
	running.Go(func() { h.keepSoftwareVersions(ctx) })
	running.Go(func() { h.catchUpRecords(ctx) })
}

func (h *Host) close() {
	h.supplier.Close()
	h.replicator.Close()
	h.procurer.Close()
	h.exchanger.Close()
	h.engines.Close()
	h.store.Close()
	for _, err := range []error{h.messenger.Close(), h.meter.Close()} {
		if err != nil {
			h.log.Warn("close-failed", logger.Err(err))
		}
	}
}

// newServer returns a server whose limits on headers and idle connections are those of
// its acceptor, which may change.
func (h *Host) newServer(handler http.Handler) *http.Server {
	return &http.Server{Handler: handler, ErrorLog: h.log.StdLogger("http-server")}
}

// newOtherServer returns a server of a port that takes no calls. Its requests have no
// body and are answered at once.
func (h *Host) newOtherServer(handler http.Handler) *http.Server {
	s := h.newServer(http.MaxBytesHandler(handler, 0))
	s.ReadTimeout, s.WriteTimeout = h.settings.Load().ReadTimeout(), h.settings.Load().ReadTimeout()
	return s
}

func (h *Host) serve(ctx context.Context, running *sync.WaitGroup, s *http.Server, address string, limits acceptor.Limits) error {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", address)
	if err != nil {
		return fmt.Errorf("listen on %s: %w", address, err)
	}
	accept := acceptor.New(listener, limits, h.capacity.headers, h.recordConnection)
	accept.Attach(s)
	if address == h.settings.Load().Callers() {
		h.callers.Store(accept)
	}
	running.Go(func() { accept.Run(ctx) })
	running.Go(func() {
		if err := s.Serve(accept); !errors.Is(err, http.ErrServerClosed) {
			h.log.Error("address-not-served", logger.Err(err))
		}
	})
	return nil
}

// countInFlight makes a server count its calls in flight.
func countInFlight(s *http.Server) *atomic.Int64 {
	var n atomic.Int64
	inner := s.Handler
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n.Add(1)
		defer n.Add(-1)
		inner.ServeHTTP(w, r)
	})
	return &n
}

func (h *Host) directory() http.Handler {
	return platform.NewDirectoryHandler(func(region, dataCentre string) []string {
		list := h.referrer.Addresses(region, dataCentre)
		if len(list) == 0 && h.ready() {
			return []string{h.settings.Load().Callers()} // the host rows have not been read yet
		}
		return list
	}, referrer.TTL)
}

func (h *Host) metrics() http.Handler {
	m := mux.NewRouter()
	m.Handle("/metrics", h.meter.Handler()).Methods(http.MethodGet)
	return m
}

// reconcile periodically claims engines, reconciles those that this host owns,
// deletes stale rows, and updates what is known of the engines' speeds.
func (h *Host) reconcile(ctx context.Context) {
	lastCleanup := time.Now()
	for sleeper.Sleep(ctx, reconcileInterval) == nil {
		h.members.Claim(ctx, h.ownableEngines())
		known := h.fleet.Current().All()
		h.members.Release(ctx, func(engine string) bool { return known[engine] != nil })
		h.supplier.Reconcile()
		if time.Since(lastCleanup) > cleanupInterval {
			lastCleanup = time.Now()
			h.updateSpeeds()
			h.updatePaces()
			h.members.DeleteStaleRows(ctx)
		}
	}
}

func (h *Host) ownableEngines() []enroller.Engine {
	var list []enroller.Engine
	for _, e := range h.fleet.Current().All() {
		if h.engineSpec(e.Service()) != nil {
			list = append(list, e)
		}
	}
	return list
}

// reloadSettings reads the settings again for each value received from reload.
func (h *Host) reloadSettings(ctx context.Context, reload <-chan os.Signal, read func() (*configurer.Entry, error)) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-reload:
			settings, err := read()
			if err != nil {
				h.log.Error("settings-not-reloaded", logger.Err(err))
				continue
			}
			h.settings.Store(settings)
			h.log.Info("settings-reloaded")
		}
	}
}

// stop ends the host without interrupting a call: it removes the host from the
// directory, continues to serve while callers may still use its address, and
// waits for the calls in flight.
func (h *Host) stop(ctx context.Context, servers []*http.Server, inFlight *atomic.Int64) {
	start := time.Now()
	grace := h.settings.Load().StopGrace() - exitReserve
	h.log.Info("stopping", logger.With(logger.KeyLeft, grace.Milliseconds()), logger.With(logger.KeyCount, inFlight.Load()))
	h.draining.Store(true)
	limited, cancel := context.WithTimeout(ctx, acceptDuration)
	h.members.Leave(limited)
	cancel()
	_ = sleeper.Sleep(ctx, acceptDuration-time.Since(start)) // ctx is not canceled before stop returns
	h.frontEnd.CloseIntake()
	h.callers.Load().ExpireIdle(ctx)
	limited, cancel = context.WithTimeout(ctx, grace-time.Since(start))
	defer cancel()
	for _, s := range servers {
		if err := s.Shutdown(limited); err != nil {
			h.log.Warn("calls-cut", logger.With(logger.KeyCount, inFlight.Load()), logger.Err(err))
			_ = s.Close() // the grace time is over, and the process would be killed
		}
	}
}
