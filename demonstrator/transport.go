package demonstrator

import (
	"fmt"
	"net/http"
	"time"

	"github.com/dragonflyford/dragonflyford/sleeper"
	"github.com/dragonflyford/dragonflyford/transporter"
)

// delayedTransport adds the one-way latency between callers and their data
// centre to requests and to the start of responses.
type delayedTransport struct {
	*transporter.Transport
	latency time.Duration
}

func newDelayedTransport(latency time.Duration) *delayedTransport {
	return &delayedTransport{Transport: transporter.NewTransport(), latency: latency}
}

// RoundTrip sends a request.
func (t *delayedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	if err := t.delay(r); err != nil {
		return nil, err
	}
	resp, err := t.Transport.RoundTrip(r)
	if err != nil {
		return nil, fmt.Errorf("send delayed request: %w", err)
	}
	if err := t.delay(r); err != nil {
		_ = resp.Body.Close()
		return nil, err
	}
	return resp, nil
}

func (t *delayedTransport) delay(r *http.Request) error {
	if err := sleeper.Sleep(r.Context(), t.latency); err != nil {
		return fmt.Errorf("wait for the link latency: %w", err)
	}
	return nil
}
