// Package runner assembles a node from its settings and dependencies.
package runner
