// Package retrier runs the place, dispatch and verify stages once per attempt.
package retrier
