package allotter

import "sync"

// account is the bucket of a workspace at a host.
type account struct {
	host      string
	workspace string
}

// reports holds what the next message to a host says of earlier calls, so that these need no
// messages of their own.
type reports struct {
	mu        sync.Mutex
	returned  map[account]float64 // tokens that the host granted to calls that did not run
	elsewhere map[account]float64 // tokens that others granted because the host did not answer
}

func (r *reports) addReturned(key account, tokens float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.returned[key] += tokens
}

func (r *reports) addElsewhere(key account, tokens float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.elsewhere[key] += tokens
}

// take returns what is to be reported of an account, and forgets it.
func (r *reports) take(key account) (returned, elsewhere float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	returned, elsewhere = r.returned[key], r.elsewhere[key]
	delete(r.returned, key)
	delete(r.elsewhere, key)
	return returned, elsewhere
}

// restore puts back what a host was not told because it did not answer. Tokens are not
// returned later: they may have been, and the bucket has filled up again.
func (r *reports) restore(key account, elsewhere float64) {
	if elsewhere > 0 {
		r.addElsewhere(key, elsewhere)
	}
}

// forget drops the report of an account.
func (r *reports) forget(key account) { _, _ = r.take(key) }

// clear drops the returned tokens that were not sent with the latest presences: those hosts are
// not asked any more.
func (r *reports) clear() {
	r.mu.Lock()
	defer r.mu.Unlock()
	clear(r.returned)
}
