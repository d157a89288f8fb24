// Package meter gives the parts of a node a tally scope and serves what they
// measure to Prometheus. Label values come from lists that are fixed in the
// program; there is never a label per adapter, caller or request.
package meter
