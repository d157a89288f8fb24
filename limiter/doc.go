// Package limiter spaces the requests to endpoints that accept a limited rate of them
// from all hosts together. It has no clock and no network of its own.
package limiter
