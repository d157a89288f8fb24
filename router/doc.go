// Package router implements the pipeline stage that chooses the service for a call
// by host and path. The routing table is immutable and replaced atomically; a call
// keeps the table that it was routed with.
package router
