// Package mirrorer keeps a copy of a table that a host follows, so that the other
// hosts of its data centre can follow the table there instead of at the store.
package mirrorer
