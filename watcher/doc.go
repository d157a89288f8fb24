// Package watcher follows the accepted and the prepared bundle. It is the first
// stage of the control pipeline: it learns of epochs from the table and from
// peers, fetches what it lacks, and passes candidates on.
package watcher
