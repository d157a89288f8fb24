package emulator

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
)

// Server is a set of fakes that listen on sockets.
type Server struct {
	*set
	platform  string
	control   string
	addresses map[string]string // by endpoint
	cancel    context.CancelFunc
	stop      func() bool // ends the watch on the context of Start
	servers   []*http.Server
	serving   sync.WaitGroup
	gate      gate
	once      sync.Once
}

// Start builds the fakes that a document describes and makes them listen. The
// end of ctx stops them; Close waits until they have stopped.
func Start(ctx context.Context, doc *Document) (*Server, error) {
	if err := doc.Validate(); err != nil {
		return nil, err
	}
	platform := doc.Platform.options(doc.Seed)
	s := &set{
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

// anyPort is a free port on the loopback interface.
const anyPort = "127.0.0.1:0"

// Serve makes the fakes of the deployment listen on free loopback ports. Closing
// the result closes the deployment.
func (d *Deployment) Serve(ctx context.Context) (*Server, error) {
	return run(ctx, &d.set, anyPort, anyPort, func(string) string { return anyPort })
}

func run(ctx context.Context, s *set, platform, control string, address func(endpoint string) string) (*Server, error) {
	base, cancel := context.WithCancel(context.WithoutCancel(ctx))
	r := &Server{set: s, addresses: make(map[string]string, len(s.endpoints)), cancel: cancel}
	if err := r.listenAll(ctx, base, platform, control, address); err != nil {
		r.Close()
		return nil, err
	}
	r.stop = context.AfterFunc(ctx, r.shutdown)
	return r, nil
}

func (r *Server) listenAll(ctx, base context.Context, platform, control string, address func(string) string) error {
	var err error
	r.platform, err = r.listen(ctx, base, platform, PlatformHandler(r.table, r.objects, r.hosts, r.weights))
	if err != nil {
		return fmt.Errorf("serve platform: %w", err)
	}
	r.control, err = r.listen(ctx, base, control, controlHandler(r.set))
	if err != nil {
		return fmt.Errorf("serve control interface: %w", err)
	}
	for _, e := range r.endpoints {
		r.addresses[e.name], err = r.listen(ctx, base, address(e.name), e.handler())
		if err != nil {
			return fmt.Errorf("serve endpoint %q: %w", e.name, err)
		}
	}
	return nil
}

// handler serves the endpoint over HTTP.
func (e *Endpoint) handler() http.Handler {
	if e.engine != nil {
		return EngineHandler(e.engine)
	}
	return ServiceHandler(e.service)
}

// listen serves a handler and returns the address it listens on.
func (r *Server) listen(ctx, base context.Context, address string, h http.Handler) (string, error) {
	var config net.ListenConfig
	l, err := config.Listen(ctx, "tcp", address)
	if err != nil {
		return "", fmt.Errorf("listen on %s: %w", address, err)
	}
	srv := &http.Server{
		Handler:     r.gate.guard(h),
		BaseContext: func(net.Listener) context.Context { return base },
	}
	r.servers = append(r.servers, srv)
	r.serving.Go(func() {
		// Serve ends when the server is closed; no other error can be acted on.
		_ = srv.Serve(l)
	})
	return l.Addr().String(), nil
}

// PlatformAddress returns the address of the table, the object store, the host
// list and the weight store.
func (r *Server) PlatformAddress() string { return r.platform }

// ControlAddress returns the address of the control interface.
func (r *Server) ControlAddress() string { return r.control }

// Address returns the address of an endpoint, or "".
func (r *Server) Address(endpoint string) string { return r.addresses[endpoint] }

// shutdown stops listening and cuts all connections.
func (r *Server) shutdown() {
	r.cancel()
	for _, s := range r.servers {
		_ = s.Close()
	}
}

// Close stops all fakes and waits for their goroutines.
func (r *Server) Close() {
	r.once.Do(func() {
		if r.stop != nil {
			r.stop()
		}
		r.shutdown()
		r.closeEngines()
		r.serving.Wait()
		r.gate.close()
	})
}

// gate counts the handlers that run, so that Close can wait for them: a server's
// own Close does not.
type gate struct {
	mu      sync.Mutex
	closed  bool
	running sync.WaitGroup
}

// enter reports whether a handler may start.
func (g *gate) enter() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return false
	}
	g.running.Add(1)
	return true
}

// close lets no further handler start and waits for those that run.
func (g *gate) close() {
	g.mu.Lock()
	g.closed = true
	g.mu.Unlock()
	g.running.Wait()
}

func (g *gate) guard(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !g.enter() {
			panic(http.ErrAbortHandler)
		}
		defer g.running.Done()
		h.ServeHTTP(w, r)
	})
}
