// Package admitter is the admission control of a node. It limits how many requests
// run and wait, shares the slots fairly among callers, and rejects a request at once
// if it is not expected to start before its deadline.
package admitter
