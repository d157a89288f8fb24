// Package placer chooses the endpoint that each attempt at a request runs on:
// a model engine, by the configured policy, or an instance of a plain service.
package placer
