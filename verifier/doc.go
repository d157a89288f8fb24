// Package verifier checks that every part of an answer belongs to its request.
package verifier
