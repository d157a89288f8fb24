// Package budgeter shares the weight store among all nodes: its rate of loads
// and the number of loads in flight.
package budgeter
