// Package router chooses the service for a call by host and path. The table of
// routes is immutable and replaced as a whole; a call keeps the table that it was
// routed with.
package router
