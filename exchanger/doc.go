// Package exchanger sends a call to an endpoint over a pooled connection and
// streams the response. It never sends a call twice, reports whether a failed
// call may have run, and returns a response only if it carries the id of the
// call.
package exchanger
