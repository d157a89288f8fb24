package exampler

import (
	"time"

	"github.com/dragonflyford/dragonflyford/configurer"
	"github.com/dragonflyford/dragonflyford/emulator"
)

// Short times, so that nodes stop quickly; callers of the examples request the
// entries again after a second.
const (
	entryTTL   = time.Second
	drainGrace = 2 * time.Second
)

func (e *example) nodeSettings(n node) *configurer.Draft {
	name, platform := e.deployment.Name(), e.ports.url(platformPort)
	d := configurer.NewDraft(n.name, n.region, emulator.DataCentre(n.region))
	d.SetListen(e.ports.address(callerPort+n.index), e.ports.address(peerPort+n.index), e.ports.address(operatorPort+n.index))
	d.SetPlatform(platform, platform, platform)
	d.AddSigner(author, publicText(signingKey(name, author)))
	d.AddSigner(reviewer, publicText(signingKey(name, reviewer)))
	d.SetEntries(entryTTL, drainGrace)
	d.AddOperator("example-only", keyHash(operatorKey(name)))
	return d
}

// operatorKeyFile holds the key that the operators' listeners require.
const operatorKeyFile = "operator.key"

// operatorDocument is a settings file of dragonflyctl. Key files are named
// relative to the directory of the example.
type operatorDocument struct {
	Operator string            `json:"operator"`
	Table    string            `json:"table"`
	Objects  string            `json:"objects"`
	KeyFile  string            `json:"key_file"`
	Keys     map[string]string `json:"keys"`
	// Nodes holds the URLs of the operators' listeners by node.
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
