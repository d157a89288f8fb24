// Package validator decides whether a bundle that the watcher fetched may come into force.
package validator
