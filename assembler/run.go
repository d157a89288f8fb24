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

	"github.com/dragonflyford/dragonflyford/configurer"
	"github.com/dragonflyford/dragonflyford/enroller"
	"github.com/dragonflyford/dragonflyford/logger"
	"github.com/dragonflyford/dragonflyford/platform"
	"github.com/dragonflyford/dragonflyford/referrer"
	"github.com/dragonflyford/dragonflyford/sleeper"
)

const (
	tendInterval   = 500 * time.Millisecond
	accuseInterval = 150 * time.Millisecond
	accuseTimeout  = time.Second
	forgetInterval = 10 * time.Second
	// acceptFor is how long a stopping host still accepts connections: callers use
	// the directory's last answer for its life.
	acceptFor = 2700 * time.Millisecond
	// exitTime is the part of the grace time that is left for the process to end.
	exitTime = 300 * time.Millisecond
)

// Run serves until ctx ends and then stops as planned. Reload hands in a value
// each time the settings are to be read again.
func (h *Host) Run(ctx context.Context, reload <-chan os.Signal, read func() (*configurer.Entry, error)) error {
	settings := h.settings.Load()
	h.log.Info("started", logger.With(logger.KeyPeer, settings.Address()))
	work, cancel := context.WithCancel(context.WithoutCancel(ctx))
	var running sync.WaitGroup
	var servers []*http.Server
	defer func() {
		cancel()
		for _, s := range servers {
			_ = s.Close() // closed already unless an address could not be listened on
		}
		running.Wait()
		h.close()
		h.log.Info("stopped")
	}()
	callers := h.server(h.front)
	inFlight := track(callers)
	var idle idleConnections
	idle.watch(callers)
	running.Go(func() { idle.sweep(work, h.idleTime) })
	servers = []*http.Server{callers, h.server(platform.NewReadinessHandler(h.ready)), h.server(h.directory()), h.server(h.metrics())}
	addresses := []string{settings.Callers(), settings.Readiness(), settings.Directory(), settings.Metrics()}
	for i, server := range servers {
		if err := h.serve(work, &running, server, addresses[i]); err != nil {
			return err
		}
	}
	var config net.ListenConfig
	listener, err := config.Listen(work, "tcp", settings.Peers())
	if err != nil {
		return fmt.Errorf("listen for hosts: %w", err)
	}
	running.Go(func() {
		if err := h.messenger.Serve(work, listener); err != nil && work.Err() == nil {
			h.log.Error("peers-not-served", logger.Err(err))
		}
	})
	for _, f := range h.followers {
		running.Go(func() { f.Run(work) })
	}
	running.Go(func() { h.members.Run(work) })
	running.Go(func() {
		if err := h.pinger.Run(work, settings.Peers()); err != nil {
			h.log.Error("signs-of-life-not-sent", logger.Err(err))
		}
	})
	running.Go(func() { h.tend(work) })
	running.Go(func() { h.accuse(work) })
	running.Go(func() { h.reloads(work, reload, read) })
	<-ctx.Done()
	h.stop(work, servers, inFlight)
	return nil
}

func (h *Host) close() {
	h.supplier.Close()
	h.exchanger.Close()
	h.engines.Close()
	h.store.Close()
	for _, err := range []error{h.messenger.Close(), h.meter.Close()} {
		if err != nil {
			h.log.Warn("not-closed", logger.Err(err))
		}
	}
}

func (h *Host) server(handler http.Handler) *http.Server {
	s := h.settings.Load()
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: s.ReadTimeout(),
		IdleTimeout:       s.IdleTimeout(),
		MaxHeaderBytes:    s.HeaderBytes(),
		ErrorLog:          h.log.Standard("http-server"),
	}
}

func (h *Host) serve(ctx context.Context, running *sync.WaitGroup, s *http.Server, address string) error {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", address)
	if err != nil {
		return fmt.Errorf("listen on %s: %w", address, err)
	}
	running.Go(func() {
		if err := s.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			h.log.Error("address-not-served", logger.Err(err))
		}
	})
	return nil
}

// track counts the calls in flight of a server.
func track(s *http.Server) *atomic.Int64 {
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
	return platform.NewDirectoryHandler(func(region, zone string) []string {
		list := h.referrer.Addresses(region, zone)
		if len(list) == 0 && h.ready() {
			return []string{h.settings.Load().Callers()} // the store has not answered yet
		}
		return list
	}, referrer.TTL)
}

func (h *Host) metrics() http.Handler {
	m := mux.NewRouter()
	m.Handle("/metrics", h.meter.Handler()).Methods(http.MethodGet)
	return m
}

// tend looks after the engines.
func (h *Host) tend(ctx context.Context) {
	forgotten := time.Now()
	for sleeper.Sleep(ctx, tendInterval) == nil {
		h.members.Claim(ctx, h.ownable())
		h.supplier.Reconcile()
		if time.Since(forgotten) > forgetInterval {
			forgotten = time.Now()
			known := h.fleet.Current().All()
			h.members.DeleteStaleRows(ctx, func(engine string) bool { return known[engine] != nil })
		}
	}
}

func (h *Host) ownable() []enroller.Engine {
	var list []enroller.Engine
	for _, e := range h.fleet.Current().All() {
		if h.engineSettings(e.Service()) != nil {
			list = append(list, e)
		}
	}
	return list
}

// accuse tells the other hosts of calls that endpoints broke off at.
func (h *Host) accuse(ctx context.Context) {
	var telling sync.WaitGroup
	defer telling.Wait()
	for sleeper.Sleep(ctx, accuseInterval) == nil {
		marks := h.screener.TakeUnsentMarks()
		if len(marks) == 0 {
			continue
		}
		for _, peer := range h.members.View().Hosts() {
			if peer.Name() == h.members.Self() {
				continue
			}
			telling.Go(func() {
				ctx, cancel := context.WithTimeout(ctx, accuseTimeout)
				defer cancel()
				if err := h.messenger.SendMarks(ctx, peer.PeerAddress(), marks); err != nil {
					h.log.Warn("evidence-not-told", logger.With(logger.KeyPeer, peer.Name()), logger.Err(err))
				}
			})
		}
	}
}

// reloads reads the settings again when asked to.
func (h *Host) reloads(ctx context.Context, reload <-chan os.Signal, read func() (*configurer.Entry, error)) {
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

// stop ends the host without cutting a call: it leaves the directory, goes on
// serving while callers may still come, and waits for the calls in flight.
func (h *Host) stop(ctx context.Context, servers []*http.Server, inFlight *atomic.Int64) {
	began := time.Now()
	grace := h.settings.Load().Grace() - exitTime
	h.log.Info("stopping", logger.With(logger.KeyLeft, grace.Milliseconds()), logger.With(logger.KeyCount, inFlight.Load()))
	h.leaving.Store(true)
	limited, cancel := context.WithTimeout(ctx, acceptFor)
	h.members.Leave(limited)
	cancel()
	_ = sleeper.Sleep(ctx, acceptFor-time.Since(began)) // ends early only with the process
	limited, cancel = context.WithTimeout(ctx, grace-time.Since(began))
	defer cancel()
	for _, s := range servers {
		if err := s.Shutdown(limited); err != nil {
			h.log.Warn("calls-cut", logger.With(logger.KeyCount, inFlight.Load()), logger.Err(err))
			_ = s.Close() // the process is about to be killed
		}
	}
}
