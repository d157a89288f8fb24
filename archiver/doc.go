// Package archiver keeps in the store at which software versions streams began, so that any
// host knows where a stream may go on, also after all hosts have started again, and looks
// that up there and at the hosts that keep records in their memory. While one version of
// each service serves and the store answers, it stores one row for each service and nothing
// for a stream.
package archiver
