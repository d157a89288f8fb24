// Package commander implements the commands of dragonflyctl, the command line
// tool for operators.
package commander
