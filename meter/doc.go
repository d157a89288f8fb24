// Package meter provides a tally scope for the metrics of a node and exposes them
// to Prometheus. Label values come from lists that are fixed in the program;
// there is never a label value per adapter, caller or request.
package meter
