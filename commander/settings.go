package commander

import (
	"bytes"
	"crypto/ed25519"
	"crypto/x509"
	"encoding/base64"
	"encoding/json"
	"encoding/pem"
	"errors"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"

	"github.com/dragonflyford/dragonflyford/bundler"
)

// SettingError reports a setting, argument or file with a value that is not
// allowed.
type SettingError struct {
	setting string
	value   string
	allowed string
}

// Setting returns the name of the setting.
func (e *SettingError) Setting() string { return e.setting }

// Value returns the value as given.
func (e *SettingError) Value() string { return e.value }

// Allowed describes the allowed values.
func (e *SettingError) Allowed() string { return e.allowed }

// UsageError implements exiter.UsageError.
func (e *SettingError) UsageError() {}

func (e *SettingError) Error() string {
	return fmt.Sprintf("%s: value %q is not allowed; must be %s", e.setting, e.value, e.allowed)
}

// Settings are an operator's settings.
type Settings struct {
	operator string
	table    string
	objects  string
	keyFile  string
	public   map[string]ed25519.PublicKey
	revoked  []string

	nodes           []OperatorAddress
	operatorKeyFile string
	operatorCAFile  string
}

// Operator returns the operator's name, which is also the name of the key.
func (s *Settings) Operator() string { return s.operator }

// Table returns the address of the table service.
func (s *Settings) Table() string { return s.table }

// Objects returns the address of the object store.
func (s *Settings) Objects() string { return s.objects }

// Keys returns the public keys that may sign bundles.
func (s *Settings) Keys() bundler.Keys { return bundler.NewKeys(s.public, s.revoked...) }

// settingsDocument is the settings file.
type settingsDocument struct {
	Operator string            `json:"operator"`
	Table    string            `json:"table"`
	Objects  string            `json:"objects"`
	KeyFile  string            `json:"key_file"`
	Keys     map[string]string `json:"keys"`
	Revoked  []string          `json:"revoked"`
	// Nodes maps node names to the URLs of their operator listeners.
	Nodes map[string]string `json:"nodes"`
	// OperatorKeyFile is the path of the key that authenticates the operator to
	// nodes.
	OperatorKeyFile string `json:"operator_key_file"`
	// OperatorCAFile is the path of the PEM certificates that node certificates are
	// verified with.
	OperatorCAFile string `json:"operator_ca_file"`
}

// readSettings reads a settings file and rejects unknown fields.
func readSettings(path string) (*Settings, error) {
	if path == "" {
		return nil, &SettingError{setting: "--config", allowed: "the path of a settings file for this command"}
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, &SettingError{setting: "--config", value: path, allowed: "a readable file: " + err.Error()}
	}
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	var doc settingsDocument
	if err := dec.Decode(&doc); err != nil {
		return nil, &SettingError{setting: "--config", value: path, allowed: "a JSON settings file: " + err.Error()}
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return nil, &SettingError{setting: "--config", value: path, allowed: "one JSON object without text after it"}
	}
	s, err := doc.settings()
	if err != nil {
		return nil, fmt.Errorf("settings file %s: %w", path, err)
	}
	return s, nil
}

func (d *settingsDocument) settings() (*Settings, error) {
	s := &Settings{
		operator: d.Operator, table: d.Table, objects: d.Objects, keyFile: d.KeyFile,
		public: make(map[string]ed25519.PublicKey, len(d.Keys)), revoked: d.Revoked,
		operatorKeyFile: d.OperatorKeyFile, operatorCAFile: d.OperatorCAFile,
	}
	var errs []error
	required := []struct{ name, value, allowed string }{
		{"operator", d.Operator, "the operator's name"},
		{"table", d.Table, "the address of the table service"},
		{"objects", d.Objects, "the address of the object store"},
	}
	for _, r := range required {
		if r.value == "" {
			errs = append(errs, &SettingError{setting: r.name, allowed: r.allowed})
		}
	}
	for name, text := range d.Keys {
		key, err := base64.StdEncoding.DecodeString(text)
		if err != nil || len(key) != ed25519.PublicKeySize {
			errs = append(errs, &SettingError{setting: "keys." + name, value: text, allowed: "32 bytes in base64"})
		}
		s.public[name] = key
	}
	for i, name := range d.Revoked {
		if _, ok := d.Keys[name]; !ok {
			errs = append(errs, &SettingError{setting: "revoked[" + strconv.Itoa(i) + "]", value: name, allowed: "the name of a key in keys"})
		}
	}
	for name, address := range d.Nodes {
		if !validOperatorURL(address) {
			errs = append(errs, &SettingError{setting: "nodes." + name, value: address, allowed: "http or https, host and port, as in https://10.1.0.11:9443"})
		}
		s.nodes = append(s.nodes, NewOperatorAddress(name, address))
	}
	return s, errors.Join(errs...)
}

const pemType = "PRIVATE KEY"

// privateKey reads the operator's private key and checks that it belongs to the
// operator's public key in the settings.
func (s *Settings) privateKey() (ed25519.PrivateKey, error) {
	fault := func(allowed string) error {
		return &SettingError{setting: "key_file", value: s.keyFile, allowed: allowed}
	}
	data, err := os.ReadFile(s.keyFile)
	if err != nil {
		return nil, fault("a readable file: " + err.Error())
	}
	block, _ := pem.Decode(data)
	if block == nil || block.Type != pemType {
		return nil, fault("a PEM file with a private key, as key new writes it")
	}
	parsed, err := x509.ParsePKCS8PrivateKey(block.Bytes)
	key, ok := parsed.(ed25519.PrivateKey)
	if err != nil || !ok {
		return nil, fault("an Ed25519 key in PKCS #8")
	}
	public, ok := s.public[s.operator]
	if !ok {
		return nil, &SettingError{setting: "operator", value: s.operator, allowed: "the name of a key in keys: " + strings.Join(sortedKeys(s.public), ", ")}
	}
	if !public.Equal(key.Public()) {
		return nil, fault("the private key of " + strconv.Quote(s.operator) + " in keys")
	}
	return key, nil
}
