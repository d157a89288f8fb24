// Package receiver turns a call from any front end into a checked request.
package receiver
