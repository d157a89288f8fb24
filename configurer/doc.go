// Package configurer reads the settings of a node. It is strict: an unknown
// field, a wrong type or a combination that cannot work is named with its
// position, its value and what is allowed, and all faults are named at once.
package configurer
