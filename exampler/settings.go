package exampler

import "github.com/dragonflyford/dragonflyford/emulator"

// nodeDocument is the settings file of a node, as far as the examples set it.
type nodeDocument struct {
	Node      placeDocument         `json:"node"`
	Listen    listenDocument        `json:"listen"`
	Platform  platformDocument      `json:"platform"`
	Bundle    signersDocument       `json:"bundle"`
	Entries   entriesDocument       `json:"entries"`
	Operators []operatorKeyDocument `json:"operators"`
}

type placeDocument struct {
	Name       string `json:"name"`
	Region     string `json:"region"`
	DataCentre string `json:"data_centre"`
}

type listenDocument struct {
	Callers   string `json:"callers"`
	Peers     string `json:"peers"`
	Operators string `json:"operators"`
}

type platformDocument struct {
	Table   string `json:"table"`
	Objects string `json:"objects"`
	Hosts   string `json:"hosts"`
}

type signersDocument struct {
	Keys []signerDocument `json:"keys"`
}

type signerDocument struct {
	Name      string `json:"name"`
	PublicKey string `json:"public_key"`
}

type entriesDocument struct {
	TTL        string `json:"ttl"`
	DrainGrace string `json:"drain_grace"`
}

type operatorKeyDocument struct {
	Name   string `json:"name"`
	SHA256 string `json:"key_sha256"`
}

func (e *example) nodeDocument(n node) nodeDocument {
	name, platform := e.deployment.Name(), e.ports.url(platformPort)
	return nodeDocument{
		Node: placeDocument{n.name, n.region, emulator.DataCentre(n.region)},
		Listen: listenDocument{
			Callers:   e.ports.address(callerPort + n.index),
			Peers:     e.ports.address(peerPort + n.index),
			Operators: e.ports.address(operatorPort + n.index),
		},
		Platform: platformDocument{Table: platform, Objects: platform, Hosts: platform},
		Bundle: signersDocument{Keys: []signerDocument{
			{author, publicText(signingKey(name, author))},
			{reviewer, publicText(signingKey(name, reviewer))},
		}},
		// Short times, so that a stop ends soon; callers of the examples ask again
		// after a second.
		Entries:   entriesDocument{TTL: "1s", DrainGrace: "2s"},
		Operators: []operatorKeyDocument{{"example-only", keyHash(operatorKey(name))}},
	}
}

// operatorKeyFile holds the key that the operators' listeners ask for.
const operatorKeyFile = "operator.key"

// operatorDocument is a settings file of dragonflyctl. Key files are named
// relative to the directory of the example.
type operatorDocument struct {
	Operator string            `json:"operator"`
	Table    string            `json:"table"`
	Objects  string            `json:"objects"`
	KeyFile  string            `json:"key_file"`
	Keys     map[string]string `json:"keys"`
	// Nodes holds the operators' listeners by node.
	Nodes           map[string]string `json:"nodes"`
	OperatorKeyFile string            `json:"operator_key_file"`
}

func (e *example) operatorDocument(operator string) operatorDocument {
	name := e.deployment.Name()
	nodes := make(map[string]string)
	for _, n := range e.nodes() {
		nodes[n.name] = e.ports.url(operatorPort + n.index)
	}
	return operatorDocument{
		Operator: operator,
		Table:    e.ports.url(platformPort),
		Objects:  e.ports.url(platformPort),
		KeyFile:  operator + ".key",
		Keys: map[string]string{
			author:   publicText(signingKey(name, author)),
			reviewer: publicText(signingKey(name, reviewer)),
		},
		Nodes:           nodes,
		OperatorKeyFile: operatorKeyFile,
	}
}
