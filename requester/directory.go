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

// directory keeps the entry addresses that the system named last.
type directory struct {
	seeds   []string
	http    *http.Client
	current atomic.Pointer[addressList]
}

// addressList is an answer of /v1/entries; it never changes.
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

// addresses returns the addresses to try, best first. It asks the system when
// the last answer is too old, and falls back to the addresses it started with.
func (d *directory) addresses(ctx context.Context) []string {
	if l := d.current.Load(); l != nil && time.Now().Before(l.expires) {
		return l.addresses
	}
	for _, seed := range d.candidates() {
		l, err := d.ask(ctx, seed)
		if err == nil && len(l.addresses) > 0 {
			d.current.Store(l)
			return l.addresses
		}
	}
	return d.seeds
}

// candidates returns every address that may answer: those named last come
// first, because the ones from the settings may be gone.
func (d *directory) candidates() []string {
	l := d.current.Load()
	if l == nil {
		return d.seeds
	}
	return append(append([]string(nil), l.addresses...), d.seeds...)
}

// forget drops the kept answer, after one of its addresses failed.
func (d *directory) forget() {
	l := d.current.Load()
	if l == nil {
		return
	}
	d.current.CompareAndSwap(l, &addressList{addresses: l.addresses})
}

// entriesTimeout bounds one question for entry addresses; the next address is
// asked after it.
const entriesTimeout = time.Second

func (d *directory) ask(ctx context.Context, address string) (*addressList, error) {
	ctx, cancel := context.WithTimeout(ctx, entriesTimeout)
	defer cancel()
	u := url.URL{Scheme: "http", Host: address, Path: "/v1/entries"}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), nil)
	if err != nil {
		return nil, fmt.Errorf("make entries request: %w", err)
	}
	resp, err := d.http.Do(req)
	if err != nil {
		return nil, fmt.Errorf("ask %s for entries: %w", address, err)
	}
	defer func() { _ = resp.Body.Close() }()
	var doc entriesDocument
	if err := json.NewDecoder(resp.Body).Decode(&doc); err != nil {
		return nil, fmt.Errorf("decode entries of %s: %w", address, err)
	}
	l := &addressList{expires: time.Now().Add(time.Duration(doc.TTL * float64(time.Second)))}
	for _, e := range doc.Entries {
		l.addresses = append(l.addresses, e.Address)
	}
	return l, nil
}
