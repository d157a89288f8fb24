package replicator

import (
	"crypto/sha256"
	"encoding/hex"
	"time"
)

// KeySize is the size of a key in bytes. Its text has two digits for each.
const KeySize = 16

// Record is the software version at which a stream of a service began.
type Record struct {
	service string
	key     string
	version string
	origin  uint64        // process of the host at which the stream began; 0 if it was not kept yet
	age     time.Duration // since the stream began, when the record was sent
}

// NewRecord returns the record of a stream that begins now.
func NewRecord(service, stream, version string) Record {
	return Record{service: service, key: Key(service, stream), version: version}
}

// DecodedRecord returns a record by its key.
func DecodedRecord(service, key, version string) Record {
	return Record{service: service, key: key, version: version}
}

// From returns the record with the process at whose host the stream began.
func (r Record) From(process uint64) Record {
	r.origin = process
	return r
}

// Aged returns the record with the time since the stream began.
func (r Record) Aged(age time.Duration) Record {
	r.age = age
	return r
}

// Key returns the key of a stream's record. Ids of callers may have any length.
func Key(service, stream string) string {
	sum := sha256.Sum256([]byte(service + "\x00" + stream))
	return hex.EncodeToString(sum[:KeySize])
}

// Service returns the name of the service.
func (r Record) Service() string { return r.service }

// Key returns the key.
func (r Record) Key() string { return r.key }

// Version returns the version at which the stream began.
func (r Record) Version() string { return r.version }

// Origin returns the process at whose host the stream began, or 0 if it is not known.
func (r Record) Origin() uint64 { return r.origin }

// Age returns the time since the stream began, when the record was sent.
func (r Record) Age() time.Duration { return r.age }
