// Package selector implements load balancing: it chooses the endpoint that a
// call is sent to, from the tracker's snapshot and the endpoints' load counters.
// The only state of its own is a count of cross-region calls per model.
package selector
