// Package deployer runs a whole deployment in one process: the emulator's
// fakes, operators' keys, a signed bundle that is rolled out, and the nodes.
// Nodes communicate over loopback sockets, or in process so that tests can run
// in virtual time.
package deployer
