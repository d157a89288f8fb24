// Package recorder keeps the latest decisions of the request pipeline, so that an
// operator can ask what happened to a request and why.
package recorder
