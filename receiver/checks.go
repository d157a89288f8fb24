package receiver

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"strings"

	"github.com/dragonflyford/dragonflyford/classifier"
)

// Largest ids, names and keys that callers may send, in bytes.
const (
	maxID   = 128
	maxName = 256
	maxKey  = 256
)

// The range of priorities; higher runs earlier.
const (
	MinPriority = 0
	MaxPriority = 9
)

// idBytes is the length of an id that the node makes. At 7,300 requests/s, 96 bits
// make a repeat within ten years about as likely as one in ten thousand million.
const idBytes = 12

// NewID returns a random request id.
func NewID() string {
	var b [idBytes]byte
	// Read never returns an error; the runtime aborts the program instead.
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// CheckID returns a fault unless a caller's request id may be sent back in a
// header.
func CheckID(id string) error {
	if id == "" || len(id) > maxID {
		return classifier.NewInvalid(fmt.Sprintf("request id has %d bytes; allowed are 1 to %d", len(id), maxID))
	}
	if !isVisible(id) {
		return classifier.NewInvalid("the request id holds a character other than visible ASCII")
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

// isPrintable is isVisible with spaces allowed.
func isPrintable(s string) bool {
	return isVisible(strings.ReplaceAll(s, " ", ""))
}

// isName reports whether s may name an adapter, a version or a service. The
// separators of model names, table rows and paths are left out.
func isName(s string) bool {
	return s != "" && len(s) <= maxName && isVisible(s) && !strings.ContainsAny(s, `@/?#%"\`)
}

// isToken reports whether s may be an HTTP method.
func isToken(s string) bool {
	for i := range len(s) {
		if s[i] < 'A' || s[i] > 'Z' {
			return false
		}
	}
	return s != "" && len(s) <= maxName
}

// isPath reports whether s is an absolute path. Dot segments are refused, because
// the endpoint might resolve them to a call that the bundle lists otherwise.
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
