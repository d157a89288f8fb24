// Package sharer decides how much of its maximum wait a call may use at an engine whose
// slots are contended, so that a workspace with high load does not displace the others.
// Workspaces of the same priority that made a request lately have equal shares. A call
// of a workspace above its share waits for less time than the caller allows, which leaves
// later slots to the other workspaces. Shares are not slots that are set aside: a call that
// can start at once is not concerned.
//
// The package has no clock and no network.
package sharer
