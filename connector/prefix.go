package connector

import (
	"context"

	"github.com/cespare/xxhash/v2"
)

// PrefixBlockSize is the number of prompt bytes in one block of a prefix cache.
const PrefixBlockSize = 64

// PrefixHashes returns one hash for each complete block of a prompt. Each hash
// covers the adapter version and all bytes up to the end of its block, so that
// equal hashes mean equal prefixes. Engines publish these hashes in their
// reports.
func PrefixHashes(m Model, prompt string) []uint64 {
	n := len(prompt) / PrefixBlockSize
	if n == 0 {
		return nil
	}
	hashes := make([]uint64, 0, n)
	digest := xxhash.New()
	_, _ = digest.WriteString(m.String())
	_, _ = digest.WriteString("\x00")
	for i := range n {
		_, _ = digest.WriteString(prompt[i*PrefixBlockSize : (i+1)*PrefixBlockSize])
		hashes = append(hashes, digest.Sum64())
	}
	return hashes
}

// PromptCache is an engine that can transfer cached KV state to other engines.
type PromptCache interface {
	// ExportCache returns the cached state of the longest cached prefix of the
	// prompt.
	ExportCache(ctx context.Context, m Model, prompt string) ([]byte, error)
	// ImportCache loads the state that another engine exported.
	ImportCache(ctx context.Context, state []byte) error
}

// FencedService is a plain service that supports the revocation of operations.
type FencedService interface {
	Service
	// Revoke makes the service refuse the operation from now on and reports
	// whether it ran before. If ran is false and err is nil, the operation has
	// not run and will not run.
	Revoke(ctx context.Context, operation string) (ran bool, err error)
}
