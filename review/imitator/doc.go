// Package imitator holds the stand-ins of the review's scripts: the platform's store and
// workers on loopback addresses, requesters, and the entry hosts as processes of their own.
package imitator
