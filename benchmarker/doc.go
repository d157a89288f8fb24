// Package benchmarker puts an open-loop load on a deployment and measures what
// callers see. Requests start at times that are fixed beforehand, and times are
// measured from there, so that a slow system cannot hide its delays by slowing
// the load down (coordinated omission).
package benchmarker
