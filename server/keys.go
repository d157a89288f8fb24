package server

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"strings"

	"github.com/dragonflyford/dragonflyford/classifier"
)

// Keys is a set of named keys, stored as SHA-256 hashes.
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
// so that timing reveals nothing about the keys.
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

// bearerToken returns the bearer token of a request, or "".
func bearerToken(r *http.Request) string {
	scheme, key, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return strings.TrimSpace(key)
}

// anonymous is the name of callers that send no key.
const anonymous = "anonymous"

// callerHashBytes is how many bytes of the hash of a key identify its caller.
const callerHashBytes = 12

// callerOf returns the name of the caller. It never contains the key itself.
func (s *Server) callerOf(r *http.Request) (string, error) {
	if s.callerKeys.Len() > 0 {
		name, ok := s.callerKeys.find(bearerToken(r))
		if !ok {
			return "", classifier.NewUnauthorized("the call carries no valid key")
		}
		return name, nil
	}
	return CallerName(r.Header.Get("Authorization")), nil
}

// CallerName derives the name of a caller from its Authorization header. It is
// used when no caller keys are configured.
func CallerName(authorization string) string {
	if authorization == "" {
		return anonymous
	}
	sum := sha256.Sum256([]byte(authorization))
	return "key-" + hex.EncodeToString(sum[:callerHashBytes])
}

// requireOperatorKey rejects requests without a valid operator key.
func (s *Server) requireOperatorKey(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, ok := s.operatorKeys.find(bearerToken(r)); !ok {
			s.writeFault(w, r, classifier.NewUnauthorized("the route needs an operator key"))
			return
		}
		next.ServeHTTP(w, r)
	})
}
