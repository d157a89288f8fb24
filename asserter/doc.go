// Package asserter checks the system's invariants at run time and counts the checks
// and violations of each.
package asserter
