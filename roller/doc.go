// Package roller is the operators' side of bundles: it prepares a signed bundle
// at all nodes, puts it in force by one conditional write, and rolls back.
package roller
