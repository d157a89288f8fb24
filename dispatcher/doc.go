// Package dispatcher runs a placed request on its endpoint.
package dispatcher
