// Package server is the HTTP front end for callers and operators.
package server
