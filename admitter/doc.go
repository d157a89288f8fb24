// Package admitter decides whether a request may enter, and when. It bounds how
// many requests run and wait, shares the places fairly among callers, and refuses
// at once what could not start before its deadline.
package admitter
