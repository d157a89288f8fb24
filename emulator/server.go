package emulator

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
)

// Server serves a set of fakes over HTTP.
type Server struct {
	*fakeSet
	platform     string
	control      string
	addresses    map[string]string // by endpoint
	cancel       context.CancelFunc
	stopWatching func() bool // stops watching the context of Start
	servers      []*http.Server
	serving      sync.WaitGroup
	handlers     handlerGroup
	once         sync.Once
}

// Start creates the fakes that a document describes and serves them. The end of
// ctx stops them; Close waits until they have stopped.
func Start(ctx context.Context, doc *Document) (*Server, error) {
	if err := doc.Validate(); err != nil {
		return nil, err
	}
	platform := doc.Platform.options(doc.Seed)
	s := &fakeSet{
		table:   NewTable(platform...),
		objects: NewObjects(platform...),
		hosts:   NewHostList(platform...),
		weights: NewWeightStore(platform...),
	}
	listen := make(map[string]string)
	for _, d := range doc.Engines {
		opts := d.options(doc.Seed + uint64(len(s.endpoints)) + 1)
		e := &Endpoint{name: d.Name, fencing: d.ChecksFencing, engine: NewEngine(s.weights, opts...)}
		s.endpoints = append(s.endpoints, e)
		listen[d.Name] = d.Address
	}
	for _, d := range doc.Services {
		opts := d.options(doc.Seed + uint64(len(s.endpoints)) + 1)
		e := &Endpoint{name: d.Name, fencing: d.ChecksFencing, service: NewService(opts...)}
		s.endpoints = append(s.endpoints, e)
		listen[d.Name] = d.Address
	}
	return run(ctx, s, doc.Platform.Address, doc.Control, func(endpoint string) string { return listen[endpoint] })
}

// anyPort makes the kernel choose a free loopback port.
const anyPort = "127.0.0.1:0"

// Serve serves the fakes of the deployment on free loopback ports. Closing the
// server closes the deployment.
func (d *Deployment) Serve(ctx context.Context) (*Server, error) {
	return run(ctx, &d.fakeSet, anyPort, anyPort, func(string) string { return anyPort })
}

func run(ctx context.Context, fakes *fakeSet, platform, control string, address func(endpoint string) string) (*Server, error) {
	base, cancel := context.WithCancel(context.WithoutCancel(ctx))
	s := &Server{fakeSet: fakes, addresses: make(map[string]string, len(fakes.endpoints)), cancel: cancel}
	if err := s.listenAll(ctx, base, platform, control, address); err != nil {
		s.Close()
		return nil, err
	}
	s.stopWatching = context.AfterFunc(ctx, s.shutdown)
	return s, nil
}

func (s *Server) listenAll(ctx, base context.Context, platform, control string, address func(string) string) error {
	var err error
	s.platform, err = s.listen(ctx, base, platform, PlatformHandler(s.table, s.objects, s.hosts, s.weights))
	if err != nil {
		return fmt.Errorf("serve platform: %w", err)
	}
	s.control, err = s.listen(ctx, base, control, controlHandler(s.fakeSet))
	if err != nil {
		return fmt.Errorf("serve control interface: %w", err)
	}
	for _, e := range s.endpoints {
		s.addresses[e.name], err = s.listen(ctx, base, address(e.name), e.handler())
		if err != nil {
			return fmt.Errorf("serve endpoint %q: %w", e.name, err)
		}
	}
	return nil
}

// handler returns the HTTP handler of the endpoint.
func (e *Endpoint) handler() http.Handler {
	if e.engine != nil {
		return EngineHandler(e.engine)
	}
	return ServiceHandler(e.service)
}

// listen serves a handler and returns the address it listens on.
func (s *Server) listen(ctx, base context.Context, address string, h http.Handler) (string, error) {
	var config net.ListenConfig
	l, err := config.Listen(ctx, "tcp", address)
	if err != nil {
		return "", fmt.Errorf("listen on %s: %w", address, err)
	}
	srv := &http.Server{
		Handler:     s.handlers.wrap(h),
		BaseContext: func(net.Listener) context.Context { return base },
	}
	s.servers = append(s.servers, srv)
	s.serving.Go(func() {
		// Serve returns when the server is closed; no other error can be
		// handled.
		_ = srv.Serve(l)
	})
	return l.Addr().String(), nil
}

// PlatformAddress returns the address of the table, the object store, the host
// list and the weight store.
func (s *Server) PlatformAddress() string { return s.platform }

// ControlAddress returns the address of the control interface.
func (s *Server) ControlAddress() string { return s.control }

// Address returns the address of an endpoint, or "".
func (s *Server) Address(endpoint string) string { return s.addresses[endpoint] }

// shutdown closes all listeners and connections.
func (s *Server) shutdown() {
	s.cancel()
	for _, srv := range s.servers {
		_ = srv.Close()
	}
}

// Close stops all fakes and waits for their goroutines.
func (s *Server) Close() {
	s.once.Do(func() {
		if s.stopWatching != nil {
			s.stopWatching()
		}
		s.shutdown()
		s.closeEngines()
		s.serving.Wait()
		s.handlers.close()
	})
}

// handlerGroup tracks running handlers, so that Server.Close can wait for them;
// http.Server.Close does not.
type handlerGroup struct {
	mu      sync.Mutex
	closed  bool
	running sync.WaitGroup
}

// start registers a handler. It reports false after close.
func (g *handlerGroup) start() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return false
	}
	g.running.Add(1)
	return true
}

// close prevents further handlers from starting and waits for those that run.
func (g *handlerGroup) close() {
	g.mu.Lock()
	g.closed = true
	g.mu.Unlock()
	g.running.Wait()
}

func (g *handlerGroup) wrap(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !g.start() {
			panic(http.ErrAbortHandler)
		}
		defer g.running.Done()
		h.ServeHTTP(w, r)
	})
}
