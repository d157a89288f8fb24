package exampler

import (
	"crypto/ed25519"
	"crypto/sha256"
	"crypto/x509"
	"encoding/base64"
	"encoding/hex"
	"encoding/pem"
	"fmt"
)

// Names of the operators, which are also those of their keys.
const (
	author   = "author"
	reviewer = "reviewer"
)

// signingKey derives a key from public text. Everyone can derive it: it protects
// nothing and is for the examples only.
func signingKey(deployment, name string) ed25519.PrivateKey {
	sum := sha256.Sum256([]byte("dragonflyford example only: " + deployment + " " + name))
	return ed25519.NewKeyFromSeed(sum[:])
}

func publicText(key ed25519.PrivateKey) string {
	public, _ := key.Public().(ed25519.PublicKey) // always this type for Ed25519
	return base64.StdEncoding.EncodeToString(public)
}

// keyFile returns a key in the format that dragonflyctl reads. PEM readers skip
// the text before the block.
func keyFile(key ed25519.PrivateKey) ([]byte, error) {
	encoded, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return nil, fmt.Errorf("encode key: %w", err)
	}
	block := pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: encoded})
	return append([]byte("EXAMPLE ONLY: this key is public, never use it outside the examples.\n"), block...), nil
}

// operatorKey is the key with which operators authenticate to the nodes of an
// example.
func operatorKey(deployment string) string { return "example-only-operator-key-" + deployment }

func keyHash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}
