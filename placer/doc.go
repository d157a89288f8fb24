// Package placer chooses the endpoint for a request.
package placer
