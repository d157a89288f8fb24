// Package encoder implements the CBOR codec of table rows and of messages
// between nodes. Encoding is deterministic, so that two nodes that encode the
// same value write the same bytes. Decoding is strict about depth, sizes,
// duplicate keys and tags, and ignores unknown fields, so that nodes of two
// releases can read each other's messages.
package encoder
