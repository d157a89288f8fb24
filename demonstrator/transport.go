package demonstrator

import (
	"fmt"
	"net/http"
	"time"

	"github.com/dragonflyford/dragonflyford/sleeper"
)

// slowTransport adds the one-way latency between callers and their data centre
// to requests and to the start of answers.
type slowTransport struct {
	http.Transport
	latency time.Duration
}

func newSlowTransport(latency time.Duration) *slowTransport {
	return &slowTransport{latency: latency}
}

// RoundTrip sends a request.
func (t *slowTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	if err := t.cross(r); err != nil {
		return nil, err
	}
	resp, err := t.Transport.RoundTrip(r)
	if err != nil {
		return nil, fmt.Errorf("request over the slow link: %w", err)
	}
	if err := t.cross(r); err != nil {
		_ = resp.Body.Close()
		return nil, err
	}
	return resp, nil
}

func (t *slowTransport) cross(r *http.Request) error {
	if err := sleeper.Sleep(r.Context(), t.latency); err != nil {
		return fmt.Errorf("cross the link: %w", err)
	}
	return nil
}
