// Package asserter checks the invariants of the system while it runs.
package asserter
