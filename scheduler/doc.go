// Package scheduler runs one engine on behalf of the node that owns it.
package scheduler
