// Package claimer keeps the at-most-once promise for non-idempotent calls.
package claimer
