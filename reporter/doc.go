// Package reporter measures how fast the service levels defined in the bundle
// burn their error budgets. Each node counts good and bad events per minute and
// stores the counts as objects; Read merges the objects of all nodes into a
// report.
package reporter
