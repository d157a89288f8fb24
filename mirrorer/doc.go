// Package mirrorer keeps a copy of a table that a host follows. The other hosts of
// its data centre can follow the table through this copy instead of at the store.
package mirrorer
