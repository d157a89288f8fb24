package configurer

import (
	"encoding/json"
	"fmt"
	"time"
)

// Draft is a settings file of a node that is being written. What is not set is left
// out and has its default when the file is read.
type Draft struct{ doc nodeDocument }

// NewDraft returns a draft for a node in a region and data centre.
func NewDraft(name, region, dataCentre string) *Draft {
	return &Draft{nodeDocument{Node: placeDocument{Name: name, Region: region, DataCentre: dataCentre}}}
}

// SetListen sets the addresses to listen on, as host:port.
func (d *Draft) SetListen(callers, peers, operators string) {
	d.doc.Listen = listenDocument{Callers: callers, Peers: peers, Operators: operators}
}

// SetPlatform sets the URLs of the table, the objects and the list of hosts.
func (d *Draft) SetPlatform(table, objects, hosts string) {
	d.doc.Platform = platformDocument{Table: table, Objects: objects, Hosts: hosts}
}

// SetEntries sets how long callers keep an entry and how long a stopping node serves
// after it left the entries.
func (d *Draft) SetEntries(ttl, drainGrace time.Duration) {
	d.doc.Entries = entriesDocument{TTL: duration(ttl), DrainGrace: duration(drainGrace)}
}

// AddSigner adds a key that bundles may be signed with, in base64.
func (d *Draft) AddSigner(name, publicKey string) {
	d.doc.Bundle.Keys = append(d.doc.Bundle.Keys, publicKeyDocument{Name: name, PublicKey: publicKey})
}

// AddOperator adds an operator with the SHA-256 of its key, in hexadecimal.
func (d *Draft) AddOperator(name, keySHA256 string) {
	d.doc.Operators = append(d.doc.Operators, keyDocument{Name: name, KeySHA256: keySHA256})
}

// MarshalJSON returns the settings file.
func (d *Draft) MarshalJSON() ([]byte, error) {
	text, err := json.Marshal(d.doc)
	if err != nil {
		return nil, fmt.Errorf("encode settings of node %s: %w", d.doc.Node.Name, err)
	}
	return text, nil
}
