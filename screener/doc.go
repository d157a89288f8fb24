// Package screener keeps calls that crash endpoints from running again. Each
// endpoint process that breaks off while it runs a call is evidence against the
// call; the hosts share it.
package screener
