package replicator

import (
	"crypto/sha256"
	"encoding/hex"
)

// Record is the software version at which a stream of a service began.
type Record struct {
	service string
	key     string
	version string
}

// NewRecord returns the record of a stream.
func NewRecord(service, stream, version string) Record {
	return Record{service: service, key: Key(service, stream), version: version}
}

// DecodedRecord returns a record by its key.
func DecodedRecord(service, key, version string) Record {
	return Record{service: service, key: key, version: version}
}

// Key returns the key of a stream's record. Ids of callers may have any length.
func Key(service, stream string) string {
	sum := sha256.Sum256([]byte(service + "\x00" + stream))
	return hex.EncodeToString(sum[:16])
}

// Service returns the name of the service.
func (r Record) Service() string { return r.service }

// Key returns the key.
func (r Record) Key() string { return r.key }

// Version returns the version at which the stream began.
func (r Record) Version() string { return r.version }
