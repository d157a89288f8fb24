// Package verifier checks that every part of a response belongs to its request.
package verifier
