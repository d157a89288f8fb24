// Package trial holds tests only: it compares the placement policies on fixed
// traces in virtual time.
package trial
