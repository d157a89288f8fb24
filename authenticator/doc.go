// Package authenticator implements the pipeline stage that finds the workspace of a
// call by its key. A key that the table of routes does not contain may be new: before
// such a call is refused, the configuration is read at the store.
package authenticator
