// Package procurer asks the owner of an engine for the model that a call needs,
// whether the owner is this host or another one.
package procurer
