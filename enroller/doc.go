// Package enroller maintains the membership of a deployment in one table of the
// store. Each host renews a row of its own, which shows that it is alive and
// serves as its lease, and one row per engine names the host that may send
// orders to the engine.
//
// A host owns an engine while the engine's row names the host and the host's
// lease is valid. The lease runs from before the renewal was sent, on a clock
// that also advances while the machine is suspended. Another host takes an
// engine over with one conditional transaction, which requires that the row of
// the owner that stopped renewing is unchanged, and then waits before it sends
// its first order.
package enroller
