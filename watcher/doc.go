// Package watcher follows the accepted and the prepared bundle.
package watcher
