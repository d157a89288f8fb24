// Package sleeper provides a sleep that ends early with its context.
package sleeper
