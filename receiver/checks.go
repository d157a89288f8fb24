package receiver

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"strings"

	"github.com/dragonflyford/dragonflyford/classifier"
)

// Maximum lengths of the ids, names and idempotency keys that callers send, in
// bytes.
const (
	maxIDBytes   = 128
	maxNameBytes = 256
	maxKeyBytes  = 256
)

// Range of priorities; higher ones run earlier.
const (
	MinPriority = 0
	MaxPriority = 9
)

// idBytes is the length of a generated id. With 96 bits, the probability of a
// repeated id within ten years at 7,300 requests/s (2.3e12 ids) is about 3 in
// 100,000.
const idBytes = 12

// NewID returns a random request id.
func NewID() string {
	var b [idBytes]byte
	// Read never returns an error; the runtime aborts the program instead.
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// CheckID returns a fault unless a caller's request id is valid in a header.
func CheckID(id string) error {
	if id == "" || len(id) > maxIDBytes {
		return classifier.NewInvalid(fmt.Sprintf("request id has %d bytes; allowed are 1 to %d", len(id), maxIDBytes))
	}
	if !isVisible(id) {
		return classifier.NewInvalid("the request id contains a character other than visible ASCII")
	}
	return nil
}

// isVisible reports whether s consists of ASCII characters without spaces and
// control characters.
func isVisible(s string) bool {
	for i := range len(s) {
		if s[i] <= ' ' || s[i] >= 0x7f {
			return false
		}
	}
	return true
}

// isPrintable reports whether s consists of printable ASCII characters,
// including spaces.
func isPrintable(s string) bool {
	return isVisible(strings.ReplaceAll(s, " ", ""))
}

// isName reports whether s is a valid name of an adapter, a version or a
// service. The separators of model names, table rows and paths are not allowed.
func isName(s string) bool {
	return s != "" && len(s) <= maxNameBytes && isVisible(s) && !strings.ContainsAny(s, `@/?#%"\`)
}

// isToken reports whether s is a valid HTTP method.
func isToken(s string) bool {
	for i := range len(s) {
		if s[i] < 'A' || s[i] > 'Z' {
			return false
		}
	}
	return s != "" && len(s) <= maxNameBytes
}

// isPath reports whether s is an absolute path. Dot segments are rejected,
// because the endpoint might resolve them to another call than the one that the
// bundle lists.
func isPath(s string) bool {
	path, _, _ := strings.Cut(s, "?")
	if !strings.HasPrefix(path, "/") || !isVisible(s) {
		return false
	}
	for segment := range strings.SplitSeq(path[1:], "/") {
		switch strings.ReplaceAll(strings.ToLower(segment), "%2e", ".") {
		case ".", "..":
			return false
		}
	}
	return true
}
