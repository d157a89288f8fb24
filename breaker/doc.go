// Package breaker stops requests that crash endpoints.
//
// A crash of an engine fails all requests of its batch. Each of them gets a mark.
// An engine's batch contains at most one marked request, so that a second crash
// identifies the culprit, which is then stopped. A mark is removed when the request
// completes or the mark's TTL expires.
//
// A broken stream is detected before the engine's new instance id confirms the
// crash. Until then the request has an unconfirmed mark. It counts like a confirmed
// one, except that a request whose second mark is unconfirmed is rejected with a
// retry delay instead of being stopped, because a lost connection looks the same.
package breaker
