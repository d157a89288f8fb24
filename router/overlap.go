package router

import (
	"iter"
	"time"
)

const (
	// limitOverlap is how long the limits of a replaced table hold beside those of the
	// current one: callers may go by the configuration before.
	limitOverlap = 5 * time.Second
	// maxReplaced bounds the replaced limits that are kept, the latest ones.
	maxReplaced = 32
)

// replacedLimits are the limits of a table that was replaced.
type replacedLimits struct {
	Limits
	until time.Time // end of the overlap
}

// RecentLimits yields the limits of the current table, and those of tables that were
// replaced a short time ago. A caller may keep to any of them. It yields nothing before the
// first table.
func (r *Router) RecentLimits() iter.Seq[Limits] {
	return func(yield func(Limits) bool) {
		current, replaced := r.current.Load(), r.replaced.Load()
		if current == nil || !yield(current.Limits()) || replaced == nil {
			return
		}
		now := time.Now()
		for _, old := range *replaced {
			if now.Before(old.until) && !yield(old.Limits) {
				return
			}
		}
	}
}

// recordReplaced keeps the limits of a table that is being replaced, if the next one has
// others. It requires mu.
func (r *Router) recordReplaced(old, next *Table) {
	if old.Limits() == next.Limits() {
		return
	}
	now := time.Now()
	kept := []replacedLimits{{Limits: old.Limits(), until: now.Add(limitOverlap)}}
	if earlier := r.replaced.Load(); earlier != nil {
		for _, l := range *earlier {
			if now.Before(l.until) && len(kept) < maxReplaced {
				kept = append(kept, l)
			}
		}
	}
	r.replaced.Store(&kept)
}
