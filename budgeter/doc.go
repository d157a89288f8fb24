// Package budgeter limits the loads from the weight store across all nodes:
// their rate and the number of loads in flight. Most loads take a permit from a
// row that all nodes share. A small share of the rate is divided among the
// nodes, so that they can still load while the table is down.
package budgeter
