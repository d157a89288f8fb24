// Package dispatcher sends each attempt to the endpoint that the placer chose.
package dispatcher
