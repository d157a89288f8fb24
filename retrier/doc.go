// Package retrier runs the place, dispatch and verify stages for each attempt of a
// request, and resumes streamed answers that break off.
package retrier
