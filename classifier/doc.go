// Package classifier defines the outcomes and faults of requests. It does not
// depend on HTTP or drpc; each front end maps the types to its protocol.
package classifier
