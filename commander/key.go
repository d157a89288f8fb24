package commander

import (
	"crypto/ed25519"
	"crypto/x509"
	"encoding/base64"
	"encoding/pem"
	"fmt"
	"os"
)

type keyNew struct {
	*session
	output
	Out string `long:"out" value-name:"FILE" required:"yes" description:"new file for the private key"`
}

// keyDocument is the output of key new.
type keyDocument struct {
	File   string `json:"file"`
	Public string `json:"public"`
}

func (c *keyNew) Execute([]string) error {
	public, private, err := ed25519.GenerateKey(nil)
	if err != nil {
		return fmt.Errorf("create key: %w", err)
	}
	encoded, err := x509.MarshalPKCS8PrivateKey(private)
	if err != nil {
		return fmt.Errorf("encode key: %w", err)
	}
	// Never overwrite an existing key: bundles may be signed with it.
	f, err := os.OpenFile(c.Out, os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o600)
	if err != nil {
		return &SettingError{setting: "--out", value: c.Out, allowed: "a file that does not exist: " + err.Error()}
	}
	if err := pem.Encode(f, &pem.Block{Type: pemType, Bytes: encoded}); err != nil {
		_ = f.Close()
		return fmt.Errorf("write key: %w", err)
	}
	if err := f.Close(); err != nil {
		return fmt.Errorf("write key: %w", err)
	}
	text := base64.StdEncoding.EncodeToString(public)
	return c.print(c.output, keyDocument{File: c.Out, Public: text},
		fmt.Sprintf("private key in %s; public key for the settings:\n%s", c.Out, text))
}
