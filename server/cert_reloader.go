package server

import (
	"context"
	"crypto/tls"
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

// CertReloader provides the TLS certificate of two files and reloads it
// periodically, so that a renewed certificate needs no restart.
type CertReloader struct {
	certFile string
	keyFile  string
	current  atomic.Pointer[tls.Certificate]
	stop     context.CancelFunc
	wg       sync.WaitGroup
}

// NewCertReloader loads the files and reloads them at every interval. If a
// reload fails, it calls onError and keeps the previous certificate.
func NewCertReloader(certFile, keyFile string, interval time.Duration, onError func(error)) (*CertReloader, error) {
	r := &CertReloader{certFile: certFile, keyFile: keyFile}
	if err := r.load(); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	r.stop = cancel
	r.wg.Go(func() { r.watchFiles(ctx, interval, onError) })
	return r, nil
}

// Config returns a TLS configuration that uses the latest certificate. HTTP/2
// is disabled: it would carry all streams of a caller over one connection, and
// the loss of that connection would break them all.
func (r *CertReloader) Config() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		NextProtos: []string{"http/1.1"},
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return r.current.Load(), nil
		},
	}
}

// Close stops reloading the files.
func (r *CertReloader) Close() error {
	r.stop()
	r.wg.Wait()
	return nil
}

func (r *CertReloader) load() error {
	pair, err := tls.LoadX509KeyPair(r.certFile, r.keyFile)
	if err != nil {
		return fmt.Errorf("load certificate %q: %w", r.certFile, err)
	}
	r.current.Store(&pair)
	return nil
}

func (r *CertReloader) watchFiles(ctx context.Context, interval time.Duration, onError func(error)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if err := r.load(); err != nil && onError != nil {
			onError(err)
		}
	}
}
