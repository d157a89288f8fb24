// Package replicator keeps the software versions at which streams began in the memory of
// several hosts, so that they are known when a host has ended or the store does not answer.
// The hosts that keep a record follow from its key, so that any host finds them.
package replicator
