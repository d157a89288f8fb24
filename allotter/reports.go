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
	byAccount map[account]Report
}

func (r *reports) add(key account, more Report) {
	r.mu.Lock()
	defer r.mu.Unlock()
	sum := r.byAccount[key]
	r.byAccount[key] = NewReport(sum.returned+more.returned, sum.late+more.late, sum.elsewhere+more.elsewhere)
}

// take removes the report on an account and returns it.
func (r *reports) take(key account) Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	report, ok := r.byAccount[key]
	if ok {
		delete(r.byAccount, key)
	}
	return report
}

// restore puts back a report that got no answer. Tokens are not returned again, because the
// host may have taken them back.
func (r *reports) restore(key account, report Report) {
	if report.elsewhere > 0 {
		r.add(key, NewReport(0, 0, report.elsewhere))
	}
}

// clear drops the reports to hosts that are not asked any more.
func (r *reports) clear(asked func(account) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for key := range r.byAccount {
		if !asked(key) {
			delete(r.byAccount, key)
		}
	}
}
