// Package exiter prints the error of a command line and determines the exit code.
// All programs share it.
package exiter
