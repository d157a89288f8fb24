// Package resolver binds a request to one bundle epoch and finds what may serve it.
package resolver
