// Package storer defines the interfaces of the platform services that hold durable
// state: the transactional table, the object store and the host list. It also has
// HTTP clients for them.
package storer
