// Package tracker keeps the registry of the endpoints of all services: their
// addresses, loaded models, load and failures. It merges the endpoints' entries in
// the store with observations from calls. A call reads one immutable snapshot and
// atomic counters, and takes no lock.
package tracker
