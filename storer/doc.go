// Package storer defines the platform interfaces that hold durable state: the
// transactional table, the object store and the host list.
package storer
