// Package publisher holds the bundle snapshot in force and the prepared one,
// and replaces them atomically.
package publisher
