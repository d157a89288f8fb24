// Package admitter decides whether a request may enter, and when.
package admitter
