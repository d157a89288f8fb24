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

// headerSlack is how much larger than the limit headers may be before net/http
// itself refuses them: below that, the caller gets a problem document.
const headerSlack = 64 << 10

// Serve accepts connections until ctx ends and returns when every request that
// is in flight then has its complete answer, however long that takes. During the
// drain grace it still accepts requests, because callers keep addresses for a
// while, and asks them to close their connections.
func (s *Server) Serve(ctx context.Context, l net.Listener, h http.Handler) error {
	if s.certificates != nil {
		l = tls.NewListener(l, s.certificates.Config())
	}
	srv := &http.Server{
		Handler:           h,
		ReadHeaderTimeout: s.readTimeout,
		IdleTimeout:       s.idleTimeout,
		MaxHeaderBytes:    s.maxHeader + headerSlack,
		// Errors of single connections, such as failed handshakes, are the
		// caller's.
		ErrorLog: log.New(io.Discard, "", 0),
	}
	failed := make(chan error, 1)
	go func() { failed <- srv.Serve(l) }()
	select {
	case err := <-failed:
		return fmt.Errorf("serve %s: %w", l.Addr(), err)
	case <-ctx.Done():
	}
	s.Drain()
	if err := s.grace(failed); err != nil {
		return fmt.Errorf("serve %s while draining: %w", l.Addr(), err)
	}
	// Background: a deadline would cut the streams that are still running.
	if err := srv.Shutdown(context.Background()); err != nil {
		return fmt.Errorf("shut down %s: %w", l.Addr(), err)
	}
	if err := <-failed; !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve %s: %w", l.Addr(), err)
	}
	return nil
}

// grace waits for the drain grace to pass or for the listener to fail.
func (s *Server) grace(failed <-chan error) error {
	if s.drainGrace <= 0 {
		return nil
	}
	timer := time.NewTimer(s.drainGrace)
	defer timer.Stop()
	select {
	case err := <-failed:
		return err
	case <-timer.C:
		return nil
	}
}
