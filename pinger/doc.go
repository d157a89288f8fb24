// Package pinger tells the hosts of a data centre that this one is alive, by
// datagrams, and knows which of them are. The store need not be asked, so that a
// dead host is noticed within seconds whether or not the store answers.
package pinger
