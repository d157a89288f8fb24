// Package validator checks the signatures and the content of a bundle that the
// watcher fetched, before it may come into force.
package validator
