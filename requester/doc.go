// Package requester is the callers' side of the HTTP interface: it finds entry
// addresses, follows streams, resumes them after a lost connection and repeats
// idempotency keys.
package requester
