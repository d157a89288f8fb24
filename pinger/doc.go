// Package pinger sends heartbeat datagrams to the other hosts of a data centre and
// tracks which of them are alive. It does not depend on the store, so a failed host
// is detected within seconds even when the store does not respond.
package pinger
