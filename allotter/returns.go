package allotter

import "sync"

// account is the bucket of a workspace at a host.
type account struct {
	host      string
	workspace string
}

// returns holds the tokens of calls that did not run until the next message to the host that
// granted them.
type returns struct {
	mu     sync.Mutex
	tokens map[account]float64
}

func (r *returns) add(key account, tokens float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tokens[key] += tokens
}

// take returns the tokens that an account is owed, and forgets them.
func (r *returns) take(key account) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	tokens, ok := r.tokens[key]
	if ok {
		delete(r.tokens, key)
	}
	return tokens
}

// clear forgets what could not be returned for the time being: the hosts in question do not
// answer, or they are not asked any more.
func (r *returns) clear() {
	r.mu.Lock()
	defer r.mu.Unlock()
	clear(r.tokens)
}
