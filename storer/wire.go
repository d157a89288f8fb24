package storer

// ErrorDocument is the body of an error response.
type ErrorDocument struct {
	// Code is "not_found", "conflict", "unavailable" or "malformed".
	Code    string `json:"code"`
	Message string `json:"message"`
	// Key is the key of the row with a conflict.
	Key string `json:"key,omitempty"`
}

// Codes of ErrorDocument.
const (
	CodeNotFound    = "not_found"
	CodeConflict    = "conflict"
	CodeUnavailable = "unavailable"
	CodeMalformed   = "malformed"
)

// RowDocument is the wire format of a row.
type RowDocument struct {
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Version uint64 `json:"version"`
}

// RowsDocument is the response to a scan.
type RowsDocument struct {
	Rows []RowDocument `json:"rows"`
}

// CommitDocument is the wire format of a commit.
type CommitDocument struct {
	Writes []WriteDocument `json:"writes"`
}

// WriteDocument is the wire format of one write of a commit.
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

// KeysDocument is the response to a request that lists objects.
type KeysDocument struct {
	Keys []string `json:"keys"`
}

// HostsDocument is the wire format of the host list.
type HostsDocument struct {
	Hosts []HostDocument `json:"hosts"`
}

// HostDocument is the wire format of an entry in the host list.
type HostDocument struct {
	Name    string `json:"name"`
	Leaving bool   `json:"leaving"`
}
