// Package breaker remembers which requests ran on engines when these crashed, and
// stops a request after two crashes. Evidence is kept by fingerprint, so that it
// also holds for other keys, callers and nodes.
package breaker
