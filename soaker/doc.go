// Package soaker holds the fault soak: tests that run the real program as separate
// processes on one machine and inject faults from outside them. See
// docs/TRIALS.md.
package soaker
