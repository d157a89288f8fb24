// Package server implements the HTTP front end for callers and operators.
package server
