// Package reserver counts memory against a fixed budget, so that what many clients
// send at once cannot take more than the host has. A part of the budget is only for
// small shares: clients with large requests cannot keep out those with small ones.
package reserver

import "sync/atomic"

// Reserver is a budget in bytes. It is safe for concurrent use.
type Reserver struct {
	total, reserved, small int64
	held                   atomic.Int64
}

// New returns a budget of total bytes. The last reserved bytes of it are only for
// shares of at most small bytes.
func New(total, reserved, small int64) *Reserver {
	return &Reserver{total: total, reserved: reserved, small: small}
}

// Held returns the number of bytes that shares hold.
func (r *Reserver) Held() int64 { return r.held.Load() }

// Share is what one request holds of a budget. It is not safe for concurrent use. The
// zero value belongs to no budget and grows without a limit.
type Share struct {
	budget *Reserver
	held   int64
}

// NewShare returns an empty share.
func (r *Reserver) NewShare() Share { return Share{budget: r} }

// Held returns the number of bytes that the share holds.
func (s *Share) Held() int64 { return s.held }

// Grow adds n bytes to the share, or reports false if the budget does not have them.
func (s *Share) Grow(n int64) bool {
	if s.budget != nil && !s.budget.take(n, s.held+n <= s.budget.small) {
		return false
	}
	s.held += n
	return true
}

// Release returns all bytes of the share to the budget.
func (s *Share) Release() {
	if s.budget != nil {
		s.budget.held.Add(-s.held)
	}
	s.held = 0
}

func (r *Reserver) take(n int64, small bool) bool {
	limit := r.total
	if !small {
		limit -= r.reserved
	}
	for {
		held := r.held.Load()
		if held+n > limit {
			return false
		}
		if r.held.CompareAndSwap(held, held+n) {
			return true
		}
	}
}
