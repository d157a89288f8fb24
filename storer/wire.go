package storer

// ErrorDocument is the body of an answer that reports an error.
type ErrorDocument struct {
	// Code is "not_found", "conflict", "unavailable" or "malformed".
	Code    string `json:"code"`
	Message string `json:"message"`
	// Key is the row of a conflict.
	Key string `json:"key,omitempty"`
}

// Codes of ErrorDocument.
const (
	CodeNotFound    = "not_found"
	CodeConflict    = "conflict"
	CodeUnavailable = "unavailable"
	CodeMalformed   = "malformed"
)

// RowDocument is one row on the wire.
type RowDocument struct {
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Version uint64 `json:"version"`
}

// RowsDocument is the answer to a scan.
type RowsDocument struct {
	Rows []RowDocument `json:"rows"`
}

// CommitDocument is a commit on the wire.
type CommitDocument struct {
	Writes []WriteDocument `json:"writes"`
}

// WriteDocument is one write of a commit.
type WriteDocument struct {
	// Kind is "put", "delete" or "check".
	Kind     string `json:"kind"`
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Expected uint64 `json:"expected"`
}

// Kinds of WriteDocument.
const (
	KindPut    = "put"
	KindDelete = "delete"
	KindCheck  = "check"
)

// KeysDocument is the answer to a list of objects.
type KeysDocument struct {
	Keys []string `json:"keys"`
}

// HostsDocument is the host list on the wire.
type HostsDocument struct {
	Hosts []HostDocument `json:"hosts"`
}

// HostDocument is one entry of the host list.
type HostDocument struct {
	Name    string `json:"name"`
	Leaving bool   `json:"leaving"`
}
