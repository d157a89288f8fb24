// Package demonstrator runs a deployment with a modest load in one process and
// checks the promises while it runs.
package demonstrator
