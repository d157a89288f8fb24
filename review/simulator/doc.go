// Package simulator runs a small deployment of the entry hosts for the cases of the second
// review: the hosts as processes of their own, and stand-ins for the platform's store, the
// workers and the callers, which do what the users' pages allow them.
package simulator
