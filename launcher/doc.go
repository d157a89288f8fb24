// Package launcher runs the command lines of dragonflyford.
package launcher
