// Package commander is the logic of dragonflyctl: key, bundle and drain commands
// of operators.
package commander
