package deployer

import (
	"context"
	"crypto/ed25519"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"fmt"

	"github.com/dragonflyford/dragonflyford/bundler"
	"github.com/dragonflyford/dragonflyford/leaser"
	"github.com/dragonflyford/dragonflyford/roller"
	"github.com/dragonflyford/dragonflyford/storer"
)

// Names of the operators' keys.
const (
	authorKey   = "author"
	reviewerKey = "reviewer"
)

// operators holds the keys that sign bundles.
type operators struct {
	author   ed25519.PrivateKey
	reviewer ed25519.PrivateKey
}

// newOperators derives keys from a seed, so that runs are reproducible. The
// keys protect nothing outside the process.
func newOperators(seed uint64) operators {
	return operators{author: deriveKey(seed, authorKey), reviewer: deriveKey(seed, reviewerKey)}
}

func deriveKey(seed uint64, name string) ed25519.PrivateKey {
	sum := sha256.Sum256(binary.BigEndian.AppendUint64([]byte(name), seed))
	return ed25519.NewKeyFromSeed(sum[:])
}

func public(key ed25519.PrivateKey) ed25519.PublicKey {
	p, _ := key.Public().(ed25519.PublicKey) // always this type for Ed25519
	return p
}

func (o operators) keys() bundler.Keys {
	return bundler.NewKeys(map[string]ed25519.PublicKey{authorKey: public(o.author), reviewerKey: public(o.reviewer)})
}

// encodedKeys returns the public keys as the settings of nodes hold them.
func (o operators) encodedKeys() (author, reviewer string) {
	return base64.StdEncoding.EncodeToString(public(o.author)), base64.StdEncoding.EncodeToString(public(o.reviewer))
}

// sign splits and signs a bundle.
func (o operators) sign(doc *bundler.Document) (roller.Plan, error) {
	content, err := bundler.Split(doc)
	if err != nil {
		return roller.Plan{}, fmt.Errorf("split bundle %q: %w", doc.Version, err)
	}
	m := content.Manifest()
	signed := bundler.NewSigned(m,
		bundler.Sign(bundler.RoleAuthor, authorKey, o.author, m),
		bundler.Sign(bundler.RoleReviewer, reviewerKey, o.reviewer, m))
	return roller.NewPlan(signed, content.Part), nil
}

// RollOut signs a bundle and rolls it out on behalf of an operator.
func (f *Fleet) RollOut(ctx context.Context, operator string, doc *bundler.Document, exclude ...string) (roller.Result, error) {
	plan, err := f.operators.sign(doc)
	if err != nil {
		return nil, err
	}
	return f.roller(operator).RollOut(ctx, plan.Excluding(exclude...))
}

// Replace signs a bundle and rolls it out in place of an unfinished roll-out of
// another operator.
func (f *Fleet) Replace(ctx context.Context, operator string, doc *bundler.Document) (roller.Result, error) {
	plan, err := f.operators.sign(doc)
	if err != nil {
		return nil, err
	}
	return f.roller(operator).RollOut(ctx, plan.Replacing())
}

// RollBack puts an earlier bundle in force.
func (f *Fleet) RollBack(ctx context.Context, operator, version string) (roller.Result, error) {
	return f.roller(operator).RollBack(ctx, version, roller.Plan{})
}

func (f *Fleet) roller(operator string) *roller.Roller {
	var table storer.Table = f.deployment.Table()
	return roller.New(table, f.deployment.Objects(), leaser.NewReader(table, leaser.Settings{}), f.operators.keys(), operator)
}
