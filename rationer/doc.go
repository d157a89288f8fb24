// Package rationer implements the retry budget: it limits how often calls are sent
// again. The limit applies to all hosts together. Each host uses a share in
// proportion to its own requests and an equal part of the fixed slack, so that hosts
// do not need to coordinate.
package rationer
