// Package exiter turns the end of a command line into what is printed and the exit
// code. All programs share it.
package exiter
