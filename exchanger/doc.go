// Package exchanger sends a call to an endpoint over a pooled connection and
// streams the response. It never sends a call twice, reports whether a failed
// call may have run, and returns a response only if its head is well-formed and
// carries the id of the call. The body ends with io.EOF only if that is certain to
// be its end.
package exchanger
