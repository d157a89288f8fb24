// Package enroller keeps the membership of a deployment in one table of the store.
// Each host renews a row of its own, which is its heartbeat and its lease, and one
// row per engine names the host that may send orders to it.
//
// A host owns an engine while the engine's row names it and its lease has not run
// out. The lease is counted from before the renewal was sent, on a clock that
// also runs while the machine is suspended. Another host takes an engine over
// with one conditional write, which requires that the row of the silent owner has
// not changed, and waits before its first order.
package enroller
