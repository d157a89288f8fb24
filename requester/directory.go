package requester

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"sync/atomic"
	"time"
)

// directory caches the entry addresses of the last response.
type directory struct {
	seeds   []string
	http    *http.Client
	current atomic.Pointer[addressList]
}

// addressList is a response of /v1/entries; it is immutable.
type addressList struct {
	addresses []string
	expires   time.Time
}

type entriesDocument struct {
	Entries []struct {
		Address string `json:"address"`
	} `json:"entries"`
	TTL float64 `json:"ttl_seconds"`
}

// addresses returns the addresses to try, best first. It fetches them when the
// last response has expired, and falls back to the initial addresses.
func (d *directory) addresses(ctx context.Context) []string {
	if l := d.current.Load(); l != nil && time.Now().Before(l.expires) {
		return l.addresses
	}
	for _, seed := range d.candidates() {
		l, err := d.fetch(ctx, seed)
		if err == nil && len(l.addresses) > 0 {
			d.current.Store(l)
			return l.addresses
		}
	}
	return d.seeds
}

// candidates returns all addresses to fetch from: those of the last response
// first, because the initial ones may no longer exist.
func (d *directory) candidates() []string {
	l := d.current.Load()
	if l == nil {
		return d.seeds
	}
	return append(append([]string(nil), l.addresses...), d.seeds...)
}

// expire marks the cached response as expired, after one of its addresses
// failed.
func (d *directory) expire() {
	l := d.current.Load()
	if l == nil {
		return
	}
	d.current.CompareAndSwap(l, &addressList{addresses: l.addresses})
}

// entriesTimeout limits one request for entry addresses, after which the next
// address is tried.
const entriesTimeout = time.Second

func (d *directory) fetch(ctx context.Context, address string) (*addressList, error) {
	ctx, cancel := context.WithTimeout(ctx, entriesTimeout)
	defer cancel()
	u := url.URL{Scheme: "http", Host: address, Path: "/v1/entries"}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), nil)
	if err != nil {
		return nil, fmt.Errorf("create entries request: %w", err)
	}
	resp, err := d.http.Do(req)
	if err != nil {
		return nil, fmt.Errorf("request entries from %s: %w", address, err)
	}
	defer func() { _ = resp.Body.Close() }()
	var doc entriesDocument
	if err := json.NewDecoder(resp.Body).Decode(&doc); err != nil {
		return nil, fmt.Errorf("decode entries from %s: %w", address, err)
	}
	l := &addressList{expires: time.Now().Add(time.Duration(doc.TTL * float64(time.Second)))}
	for _, e := range doc.Entries {
		l.addresses = append(l.addresses, e.Address)
	}
	return l, nil
}
