// Package awaiter holds the calls that reach a host before it knows what it needs to
// serve them. It is the first stage of the path of a call.
package awaiter
