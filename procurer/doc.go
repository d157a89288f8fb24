// Package procurer asks the owner of an engine for a place for a call, whether the
// owner is this host or another one.
package procurer
