// Package publisher holds the snapshot in force and replaces it atomically.
package publisher
