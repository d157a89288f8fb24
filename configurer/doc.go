// Package configurer reads and validates the settings of nodes and entry hosts.
// It rejects unknown fields, wrong types and combinations that cannot work. All
// faults are reported at once, each with its position, its value and the allowed
// values.
package configurer
