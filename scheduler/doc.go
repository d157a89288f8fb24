// Package scheduler runs one engine on the node that owns it: it queues jobs,
// loads and evicts adapters, and follows the engine's reports.
package scheduler
