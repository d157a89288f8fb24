// Package breaker stops requests that crash endpoints.
//
// An engine that crashes takes its whole batch with it. Every request of the
// batch gets a mark. A marked request runs with at most one marked request in an
// engine's batch, so that a second crash names one of them; it is stopped. The
// mark is lost when the request completes or when its time to live has passed.
//
// A broken stream is known before the crash behind it is confirmed by the
// engine's new instance id. Until then the request carries an unconfirmed mark:
// it counts like a mark, but a request with an unconfirmed second mark is asked
// to come back later instead of being stopped, because a cut connection looks
// the same.
package breaker
