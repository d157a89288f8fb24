package server

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"strings"

	"github.com/dragonflyford/dragonflyford/classifier"
)

// Keys is a set of named keys, of which only the SHA-256 is known.
type Keys struct {
	names  []string
	hashes [][sha256.Size]byte
}

// Add returns the set with one more key.
func (k Keys) Add(name string, hash [sha256.Size]byte) Keys {
	return Keys{
		names:  append(k.names[:len(k.names):len(k.names)], name),
		hashes: append(k.hashes[:len(k.hashes):len(k.hashes)], hash),
	}
}

// Len returns the number of keys.
func (k Keys) Len() int { return len(k.names) }

// find returns the name of a key. It compares with every key in constant time,
// so that the time it takes says nothing about them.
func (k Keys) find(key string) (string, bool) {
	given := sha256.Sum256([]byte(key))
	found := -1
	for i := range k.hashes {
		match := subtle.ConstantTimeCompare(given[:], k.hashes[i][:])
		found = subtle.ConstantTimeSelect(match, i, found)
	}
	if found < 0 {
		return "", false
	}
	return k.names[found], true
}

// bearer returns the key that a request carries.
func bearer(r *http.Request) string {
	scheme, key, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return strings.TrimSpace(key)
}

// anonymous names callers that carry no key.
const anonymous = "anonymous"

// callerHash is how many bytes of a key's hash name its caller.
const callerHash = 12

// caller returns who sent a call. The name never holds the key itself.
func (s *Server) caller(r *http.Request) (string, error) {
	if s.callerKeys.Len() > 0 {
		name, ok := s.callerKeys.find(bearer(r))
		if !ok {
			return "", classifier.NewUnauthorized("the call carries no valid key")
		}
		return name, nil
	}
	return CallerName(r.Header.Get("Authorization")), nil
}

// CallerName returns the name of the caller that sends an Authorization header,
// when no caller keys are configured.
func CallerName(authorization string) string {
	if authorization == "" {
		return anonymous
	}
	sum := sha256.Sum256([]byte(authorization))
	return "key-" + hex.EncodeToString(sum[:callerHash])
}

// operatorsOnly refuses everyone without an operator key.
func (s *Server) operatorsOnly(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, ok := s.operatorKeys.find(bearer(r)); !ok {
			s.writeFault(w, r, classifier.NewUnauthorized("the route needs an operator key"))
			return
		}
		next.ServeHTTP(w, r)
	})
}
