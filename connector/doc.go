// Package connector defines how the system talks to endpoints: model engines and
// plain services.
package connector
