// Package recorder keeps the latest decisions of the request pipeline, so that
// operators can look up what happened to a request and why.
package recorder
