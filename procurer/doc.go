// Package procurer requests capacity for calls from the owners of engines, which
// are this host or other ones.
package procurer
