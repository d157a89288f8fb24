// Package connector defines the interfaces of endpoints, which are model
// engines and plain services, and implements their HTTP clients.
package connector
