// Package benchmarker generates an open-loop load on a deployment and measures
// it at the callers. Requests start at times that are fixed in advance, and
// latencies are measured from these times, so that a slow system cannot hide
// its delays by slowing the load down (coordinated omission).
package benchmarker
