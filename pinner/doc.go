// Package pinner decides at which software version of a service a stream may begin and go
// on. What two versions write does not fit together. Most streams begin at the base version
// of their service, which the store holds; those that begin at another one are recorded.
// That a stream has no record shows that it began at the base version only if the sources
// that say so would have its record. It has no clock and no network of its own.
package pinner
