// Package drainer tracks planned stops of nodes, endpoints and hosts by polling the
// drain rows that operators write and the platform's host list.
package drainer
