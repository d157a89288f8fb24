// Package responder turns the end of the pipeline into an answer free of encoding.
package responder
