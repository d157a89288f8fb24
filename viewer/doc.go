// Package viewer holds what the node knows of each engine.
package viewer
