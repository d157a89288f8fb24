// Package reporter measures how fast the service levels of the bundle burn their
// error budgets. Each node counts good and bad events in minute buckets and stores
// them as objects; a reader merges the objects of all nodes into a report.
package reporter
