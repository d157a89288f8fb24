package configurer_test

import (
	"bytes"
	"crypto/ed25519"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dragonflyford/dragonflyford/configurer"
)

// example returns the example from the settings page.
func example(t testing.TB) string {
	t.Helper()
	page, err := os.ReadFile("../docs/settings.md")
	if err != nil {
		t.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(page), "```json\n")
	doc, _, _ := strings.Cut(rest, "```")
	return doc
}

// Guards against an example on the settings page that a node rejects, and against
// defaults that differ from the documented ones.
func TestExample(t *testing.T) {
	is := is.New(t)
	n, err := configurer.ParseNode([]byte(example(t)))
	is.NoErr(err)
	is.Equal(n.Name(), "lj-entry-1")
	is.Equal(n.Advertise().Peers(), "10.1.0.11:9000")
	is.Equal(n.Limits().Running(), 512)
	is.Equal(n.Limits().DefaultTimeout(), 10*time.Minute)
	is.Equal(n.RevokedKeys(), []string{"cene"})
	is.Equal(n.OperatorKeys()[0].Name(), "shift")
	is.Equal(n.LeaseRenew(), 2*time.Second)
	_, ok := n.TLS()
	is.True(ok)
}

// Guards against faults that are accepted, and against error messages that lack
// the position or the allowed values of a setting.
func TestFaults(t *testing.T) {
	tests := []struct {
		name, old, new string
		want           string
	}{
		{"unknown field", `"revoked"`, `"revocked"`, "19:5: bundle.revocked is an unknown field; allowed is keys, revoked"},
		{"repeated field", `"log":`, `"lease": {}, "log":`, "28:3: lease is repeated; allowed is one value"},
		{"wrong type", `"running": 512`, `"running": "512"`, `21:25: limits.running is "512"; allowed is a whole number`},
		{"fraction", `"running": 512`, `"running": 1.5`, "21:25: limits.running is 1.5; allowed is a whole number"},
		{"null", `"running": 512`, `"running": null`, "21:25: limits.running is null; allowed is a whole number"},
		{"number for duration", `"time": "6s"`, `"time": 6`, `22:21: lease.time is 6; allowed is a duration such as "1.5s"`},
		{"list for object", `{"level": "info"}`, `[]`, "28:10: log is []; allowed is an object with level"},
		{"missing", `"name": "lj-entry-1", `, ``, "2:11: node.name is missing; allowed is up to 63 letters"},
		{"host name", `"10.1.0.11:9000"`, `"lj1:9000"`, `5:14: listen.peers is "lj1:9000"; allowed is an IP address and port`},
		{"same address", `"10.1.0.11:9000"`, `"10.1.0.11:8443"`, "5:14: listen.peers is \"10.1.0.11:8443\"; allowed is another address than listen.callers"},
		{"all addresses", `"10.1.0.11:9000"`, `":9000"`, "5:14: listen.peers is \":9000\""},
		{"unspecified", `"10.1.0.11:9000"`, `"0.0.0.0:9000"`, "1:1: advertise.peers is missing; allowed is the IP address and port that others use"},
		{"credentials", `http://10.1.0.2:7001`, `http://u:p@10.1.0.2:7001`, "platform.table is"},
		{"unknown revoked", `["cene"]`, `["dora"]`, `19:17: bundle.revoked[0] is "dora"; allowed is the name of a key`},
		{"too few keys", `["cene"]`, `["cene", "bor"]`, "14:13: bundle.keys is ["},
		{"bad key", `11qYAYKxCrfVS/7TyWQHOg7hcvPapiMlrwIaaPcHURo=`, `11qYAY==`, "15:37: bundle.keys[0].public_key is"},
		{"zero", `"running": 512`, `"running": 0`, "21:25: limits.running is 0; allowed is 1 or more"},
		{"running above open", `"running": 512`, `"running": 5000`, "limits.running is 5000; allowed is not more than limits.open_requests"},
		{"tokens below default", `"max_tokens": 4096`, `"max_tokens": 100`, "limits.max_tokens is 100; allowed is not less than limits.default_tokens"},
		{"slow renewal", `"renew": "2s"`, `"renew": "4s"`, `22:51: lease.renew is "4s"; allowed is not more than half of lease.time`},
		{"short lease", `"lease": {"time": "6s", "guard": "1s", "renew": "2s"}`, `"lease": {"time": "3s"}`, "at least twice lease.renew, which is 2s"},
		{"short history", `"log":`, `"report": {"retention": "71h"}, "log":`, `report.retention is "71h"; allowed is 72h or more`},
		{"short grace", `"drain_grace": "10s"`, `"drain_grace": "1s"`, "entries.ttl is \"5s\"; allowed is not more than entries.drain_grace"},
		{"half of TLS", `, "key_file": "/run/secrets/node.key"`, ``, "24:10: tls.key_file is missing"},
		{"no operators", `"operators": [`, `"callers": [`, "1:1: operators is missing; allowed is at least one key"},
		{"short hash", `9f86d081`, ``, "26:37: operators[0].key_sha256 is"},
		{"level", `"info"`, `"loud"`, `28:20: log.level is "loud"; allowed is debug, info, warn, error`},
		{"syntax", `"log":`, `"log"`, "28:9: the settings: allowed is valid JSON"},
		{"cut off", "\"info\"}\n}", "", "valid JSON: unexpected end"},
		{"trailing data", "\"info\"}\n}", "\"info\"}\n} {}", "29:3: the settings: allowed is nothing after the settings"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			doc := example(t)
			is.True(strings.Contains(doc, tt.old))
			_, err := configurer.ParseNode([]byte(strings.Replace(doc, tt.old, tt.new, 1)))
			var invalid *configurer.Error
			is.True(errors.As(err, &invalid))
			is.Equal(len(invalid.Faults()), 1)
			if !strings.Contains(err.Error(), tt.want) {
				t.Errorf("got  %v\nwant %s", err, tt.want)
			}
		})
	}
}

// Guards against errors that report only the first fault or omit the file name.
func TestAllAtOnce(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "node.json")
	is.NoErr(os.WriteFile(path, []byte(`{"node": {"name": 1}, "x": 2, "log": {"level": "loud"}}`), 0o600))
	_, err := configurer.ReadNode(path)
	var invalid *configurer.Error
	is.True(errors.As(err, &invalid))
	is.True(len(invalid.Faults()) > 8)
	for _, want := range []string{"node.name is 1", "x is an unknown field", "log.level", "platform.table is missing", "node.region is missing"} {
		is.Equal(strings.Count(err.Error(), path+":1:"), len(invalid.Faults()))
		is.True(strings.Contains(err.Error(), want))
	}
	_, err = configurer.ReadNode(path + "x")
	is.True(errors.Is(err, os.ErrNotExist))
}

// FuzzParseNode guards against settings that panic the parser or are rejected
// without a reason.
func FuzzParseNode(f *testing.F) {
	f.Add(example(f))
	f.Add(`{"bundle":{"keys":[{}],"revoked":[1]},"lease":[[["`)
	f.Fuzz(func(t *testing.T, src string) {
		if _, err := configurer.ParseNode([]byte(src)); err != nil && err.Error() == "" {
			t.Error("no reason")
		}
	})
}

func ExampleParseNode() {
	_, err := configurer.ParseNode([]byte("{\n  \"lease\": {\"tme\": \"6s\"\n}"))
	fmt.Println(err)
	// Output: 3:2: the settings: allowed is valid JSON: unexpected end
}

// Guards against a draft whose file ParseNode rejects, or that sets values which
// have defaults.
func TestDraft(t *testing.T) {
	is := is.New(t)
	d := configurer.NewDraft("n1", "r1", "d1")
	d.SetListen("127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3")
	d.SetPlatform("http://127.0.0.1:4", "http://127.0.0.1:4", "http://127.0.0.1:4")
	d.SetEntries(time.Second, 2*time.Second)
	d.AddSigner("a", base64.StdEncoding.EncodeToString(make([]byte, ed25519.PublicKeySize)))
	d.AddSigner("b", base64.StdEncoding.EncodeToString(bytes.Repeat([]byte{1}, ed25519.PublicKeySize)))
	d.AddOperator("op", strings.Repeat("ab", sha256.Size))
	text, err := json.Marshal(d)
	is.NoErr(err)
	is.True(!strings.Contains(string(text), "limits"))
	n, err := configurer.ParseNode(text)
	is.NoErr(err)
	is.Equal(n.Name(), "n1")
	is.Equal(n.EntryTTL(), time.Second)
	is.Equal(n.LeaseTime(), 6*time.Second) // default
}
