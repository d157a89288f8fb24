// Package resolver binds a request to one bundle epoch and resolves it to the
// engines or service instances that may serve it.
package resolver
