// Package trial contains tests only. In virtual time, they compare the placement
// policies on fixed traces, run whole deployments under random faults, and measure
// recovery, rolling replacement and the control costs of a node.
package trial
