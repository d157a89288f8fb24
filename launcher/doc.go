// Package launcher implements the commands of dragonflyford.
package launcher
