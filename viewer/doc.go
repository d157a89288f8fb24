// Package viewer holds the latest state of each engine, as published by the node
// that owns the engine.
package viewer
