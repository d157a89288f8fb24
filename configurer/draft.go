package configurer

import (
	"encoding/json"
	"fmt"
	"time"
)

// Draft builds a settings file for a node. Settings that are not set are omitted
// from the file and have their defaults when it is read.
type Draft struct{ doc nodeDocument }

// NewDraft returns a draft for a node in a region and data centre.
func NewDraft(name, region, dataCentre string) *Draft {
	return &Draft{nodeDocument{Node: identityDocument{Name: name, Region: region, DataCentre: dataCentre}}}
}

// SetListen sets the addresses to listen on, as host:port.
func (d *Draft) SetListen(callers, peers, operators string) {
	d.doc.Listen = listenDocument{Callers: callers, Peers: peers, Operators: operators}
}

// SetPlatform sets the URLs of the table service, the object store and the host
// list.
func (d *Draft) SetPlatform(table, objects, hosts string) {
	d.doc.Platform = platformDocument{Table: table, Objects: objects, Hosts: hosts}
}

// SetEntries sets the TTL of entries at callers, and how long a stopping node
// still serves calls after it is removed from the entries.
func (d *Draft) SetEntries(ttl, drainGrace time.Duration) {
	d.doc.Entries = entriesDocument{TTL: duration(ttl), DrainGrace: duration(drainGrace)}
}

// AddSigner adds a public key, in base64, that bundles may be signed with.
func (d *Draft) AddSigner(name, publicKey string) {
	d.doc.Bundle.Keys = append(d.doc.Bundle.Keys, publicKeyDocument{Name: name, PublicKey: publicKey})
}

// AddOperator adds an operator with the SHA-256 of its key, in hexadecimal.
func (d *Draft) AddOperator(name, keySHA256 string) {
	d.doc.Operators = append(d.doc.Operators, keyDocument{Name: name, KeySHA256: keySHA256})
}

// MarshalJSON returns the contents of the settings file.
func (d *Draft) MarshalJSON() ([]byte, error) {
	text, err := json.Marshal(d.doc)
	if err != nil {
		return nil, fmt.Errorf("encode settings of node %s: %w", d.doc.Node.Name, err)
	}
	return text, nil
}
