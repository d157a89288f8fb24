// Package demonstrator runs a deployment with a light load in one process and
// checks the system's promises meanwhile.
package demonstrator
