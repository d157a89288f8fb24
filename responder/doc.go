// Package responder is the last stage of the request pipeline. It converts the
// result of a request into an answer that is independent of the encoding used by
// a front end.
package responder
