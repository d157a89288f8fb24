// Package allotter keeps the calls of a workspace within its quota over all hosts together.
// The quota owner, one host for each workspace, holds the token bucket, and the other hosts
// ask it before they send a call on. Hosts that do not reach it ask the next host in rank, or
// use a share of their own, in a way that keeps the sum of all buckets within the quota.
package allotter
