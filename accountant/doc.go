// Package accountant counts the calls of workspaces against their quotas, in token buckets.
// It has no clock and no network of its own.
package accountant
