// Package roller rolls out bundles on behalf of operators. A roll-out first has
// all nodes prepare a signed bundle and then puts it in force with a single
// conditional commit. A rollback puts an earlier version in force again.
package roller
