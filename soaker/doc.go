// Package soaker contains the fault soak test, which runs several host processes
// of the real program on one machine and injects faults from outside them. See
// docs/TRIALS.md.
package soaker
