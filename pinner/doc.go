// Package pinner decides at which software version of a service a stream may go on. What
// two versions write does not fit together. Most streams begin at the base version of
// their service, which the store holds; those that begin at another one are recorded, so
// that a stream without a record began at the base version. It has no clock and no network
// of its own.
package pinner
