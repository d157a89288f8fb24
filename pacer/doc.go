// Package pacer decides how many calls one host may have in flight at one endpoint. It
// learns the limit from the endpoint's answers: the load that they report, refusals,
// time-outs, broken connections and durations. The hosts that share an endpoint do not
// talk to each other. Each starts with an equal share of the endpoint's slots, and all
// scale their limits by the same reported load, so that the sum follows the endpoint's
// capacity. A limit may be below one call: the host then sends one call at a time with
// pauses between them.
//
// The package has no clock, no network and no source of randomness.
package pacer
