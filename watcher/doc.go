// Package watcher follows the accepted and the prepared bundle. It is the first
// stage of the control pipeline: it reads the bundle records from the table and
// from peers, fetches missing content, and passes candidate bundles to the next
// stage.
package watcher
