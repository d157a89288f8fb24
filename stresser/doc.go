// Package stresser contains tests that send a process of the real program the
// requests of clients that exceed the limits, and check that it stays within its
// memory and descriptors and still answers others. It is a package of its own so
// that no other load runs in the test process.
package stresser
