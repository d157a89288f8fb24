package router

import (
	"crypto/sha256"
	"iter"
	"maps"
)

// Unit is what a quota counts: Requests or Tokens.
type Unit interface{ unit() }

type (
	// Requests counts each call as one.
	Requests struct{}
	// Tokens counts the tokens of a call.
	Tokens struct{ plain int }
)

// NewTokens returns a unit in which a call without token counts counts as plain tokens.
func NewTokens(plain int) Tokens { return Tokens{plain: plain} }

// Plain returns what a call without token counts counts as.
func (t Tokens) Plain() int { return t.plain }

func (Requests) unit() {}
func (Tokens) unit()   {}

// Quota limits the calls of a workspace over all hosts together. The zero value has no
// limit.
type Quota struct {
	unit  Unit
	rate  float64 // units a second
	burst float64 // units
}

// NewQuota returns a quota of rate units a second and a burst of units beyond it.
func NewQuota(u Unit, rate, burst float64) Quota { return Quota{unit: u, rate: rate, burst: burst} }

// Unit returns what the quota counts.
func (q Quota) Unit() Unit { return q.unit }

// Rate returns the units a second that the quota allows.
func (q Quota) Rate() float64 { return q.rate }

// Burst returns the units that the quota allows at once.
func (q Quota) Burst() float64 { return q.burst }

// Limited reports whether the quota limits anything.
func (q Quota) Limited() bool { return q.rate > 0 }

// Cost returns the units that a call counts as.
func (q Quota) Cost(c *Call) float64 {
	tokens, ok := q.unit.(Tokens)
	switch {
	case !ok:
		return 1
	case c.countedTokens > 0:
		return float64(c.countedTokens)
	default:
		return float64(tokens.plain)
	}
}

// KeyHash identifies a key. The table holds no keys in plain text, and the time of a
// look-up reveals nothing about them. The zero value stands for a key that no call can
// present.
type KeyHash [sha256.Size]byte

// IsUsable reports whether a call can present the key.
func (h KeyHash) IsUsable() bool { return h != KeyHash{} }

// MaxKeyLength is in bytes. A longer key is unknown, so that hashing it costs nothing.
const MaxKeyLength = 256

func hashKey(key string) KeyHash {
	var buf [MaxKeyLength]byte // avoids an allocation
	return sha256.Sum256(buf[:copy(buf[:], key)])
}

// Workspace is a customer of the deployment, whose calls carry one of its keys.
type Workspace struct {
	name     string
	keys     []KeyHash // in the order in which they were given
	priority int
	quota    Quota
}

// NewWorkspace returns a workspace. Its priority replaces that of the routes; 0 is the most
// urgent.
func NewWorkspace(name string, keys []string, priority int, q Quota) *Workspace {
	w := &Workspace{name: name, keys: make([]KeyHash, len(keys)), priority: priority, quota: q}
	for i, k := range keys {
		if k != "" && len(k) <= MaxKeyLength {
			w.keys[i] = hashKey(k)
		}
	}
	return w
}

// Name returns the workspace's name.
func (w *Workspace) Name() string { return w.name }

// Keys returns the keys in the order in which they were given. The caller must not modify
// them.
func (w *Workspace) Keys() []KeyHash { return w.keys }

// Priority returns the priority of the workspace's calls; 0 is the most urgent.
func (w *Workspace) Priority() int { return w.priority }

// Quota returns the quota of the workspace.
func (w *Workspace) Quota() Quota { return w.quota }

// WithWorkspaces makes calls on routes that are not keyless require a key of one of the
// workspaces.
func WithWorkspaces(list []*Workspace) TableOption {
	return func(t *Table) {
		t.listedWorkspaces = list
		t.workspaces = make(map[string]*Workspace, len(list))
		t.workspaceByKey = make(map[KeyHash]*Workspace)
		for _, w := range list {
			t.workspaces[w.name] = w
			for _, k := range w.keys {
				if k.IsUsable() {
					t.workspaceByKey[k] = w
				}
			}
		}
	}
}

// HasWorkspaces reports whether calls require a key.
func (t *Table) HasWorkspaces() bool { return t.workspaces != nil }

// Workspace returns the workspace with the given name, or nil.
func (t *Table) Workspace(name string) *Workspace { return t.workspaces[name] }

// Workspaces returns all workspaces, in no particular order.
func (t *Table) Workspaces() iter.Seq[*Workspace] { return maps.Values(t.workspaces) }

// ListedWorkspaces returns the workspaces in the order in which they were given, including
// those of which another one has the name. The caller must not modify the list.
func (t *Table) ListedWorkspaces() []*Workspace { return t.listedWorkspaces }

// WorkspaceByHash returns the workspace that a key belongs to, or nil.
func (t *Table) WorkspaceByHash(h KeyHash) *Workspace { return t.workspaceByKey[h] }

// WorkspaceByKey returns the workspace that a key belongs to, or nil.
func (t *Table) WorkspaceByKey(key string) *Workspace {
	if key == "" || len(key) > MaxKeyLength {
		return nil
	}
	return t.workspaceByKey[hashKey(key)]
}

// maxRevokedKeys limits the memory for revoked keys. A key beyond it counts as unknown.
const maxRevokedKeys = 4096

// KeyRevoked reports whether a key belonged to a workspace in an earlier table and does not
// any more.
func (t *Table) KeyRevoked(key string) bool {
	if len(t.revokedKeys) == 0 || key == "" || len(key) > MaxKeyLength {
		return false
	}
	_, ok := t.revokedKeys[hashKey(key)]
	return ok
}

// succeeding returns the table as the successor of an earlier one, whose keys it may revoke.
func (t *Table) succeeding(old *Table) *Table {
	revoked := make(map[KeyHash]struct{})
	revoke := func(k KeyHash) {
		if _, held := t.workspaceByKey[k]; !held && len(revoked) < maxRevokedKeys {
			revoked[k] = struct{}{}
		}
	}
	for k := range old.workspaceByKey {
		revoke(k)
	}
	for k := range old.revokedKeys {
		revoke(k)
	}
	next := *t
	next.revokedKeys = revoked
	return &next
}
