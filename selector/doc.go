// Package selector chooses the endpoint that a call is sent to. It is a pure
// function of the tracker's snapshot and of the endpoints' counters.
package selector
