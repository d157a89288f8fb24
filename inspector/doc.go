// Package inspector finds entries of a configuration that can never take effect and limits
// that contradict each other, and describes the differences between two configurations by
// their effect on callers. It decides by the tables of package router and the bounds of
// package accountant, as hosts do, and reads no files and uses no network. A mistake in a
// configuration is thereby seen before the configuration is stored.
//
// Its results contain no keys. A key is named by its workspace and its position.
package inspector
