package server

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"time"
)

// headerSlack is how far headers may exceed the limit before net/http itself
// rejects them. Up to that size, the caller gets a problem document.
const headerSlack = 64 << 10

// Serve accepts connections until ctx ends, then drains, and returns once every
// request in flight has been answered completely, however long that takes.
// During the drain grace it still accepts requests, because callers cache
// addresses, and adds Connection: close to the answers.
func (s *Server) Serve(ctx context.Context, l net.Listener, h http.Handler) error {
	if s.certificates != nil {
		l = tls.NewListener(l, s.certificates.Config())
	}
	srv := &http.Server{
		Handler:           h,
		ReadHeaderTimeout: s.readTimeout,
		IdleTimeout:       s.idleTimeout,
		MaxHeaderBytes:    s.maxHeader + headerSlack,
		// Errors of single connections, such as failed TLS handshakes, are
		// caused by callers.
		ErrorLog: log.New(io.Discard, "", 0),
	}
	serveErr := make(chan error, 1)
	go func() { serveErr <- srv.Serve(l) }()
	select {
	case err := <-serveErr:
		return fmt.Errorf("serve %s: %w", l.Addr(), err)
	case <-ctx.Done():
	}
	s.Drain()
	if err := s.waitDrainGrace(serveErr); err != nil {
		return fmt.Errorf("serve %s while draining: %w", l.Addr(), err)
	}
	// No deadline: it would interrupt the streams that are still running.
	if err := srv.Shutdown(context.Background()); err != nil {
		return fmt.Errorf("shut down %s: %w", l.Addr(), err)
	}
	if err := <-serveErr; !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve %s: %w", l.Addr(), err)
	}
	return nil
}

// waitDrainGrace waits until the drain grace has passed or the listener fails.
func (s *Server) waitDrainGrace(serveErr <-chan error) error {
	if s.drainGrace <= 0 {
		return nil
	}
	timer := time.NewTimer(s.drainGrace)
	defer timer.Stop()
	select {
	case err := <-serveErr:
		return err
	case <-timer.C:
		return nil
	}
}
