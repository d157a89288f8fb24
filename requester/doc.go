// Package requester is a client of the HTTP API for callers: it finds entry
// addresses, reads streams, resumes them after a lost connection and retries
// calls with the same idempotency key.
package requester
