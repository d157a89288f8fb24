package emulator

import (
	"context"
	"encoding/binary"
	"fmt"
	"time"

	"github.com/dragonflyford/dragonflyford/connector"
)

const bytesPerHash = 8

// ExportCache returns the state of the longest cached prefix of a prompt: the
// hash of each block.
func (e *Engine) ExportCache(ctx context.Context, m connector.Model, prompt string) ([]byte, error) {
	if err := e.link.deliver(ctx); err != nil {
		return nil, fmt.Errorf("request cached state: %w: %w", connector.ErrRefused, err)
	}
	state, err := e.export(connector.PrefixHashes(m, prompt))
	if err != nil {
		return nil, err
	}
	if err := e.link.respond(ctx); err != nil {
		return nil, fmt.Errorf("wait for cached state: %w: %w", connector.ErrBroken, err)
	}
	return state, nil
}

func (e *Engine) export(hashes []uint64) ([]byte, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.check(); err != nil {
		return nil, err
	}
	var state []byte
	for _, h := range hashes[:e.cache.match(hashes)] {
		state = binary.BigEndian.AppendUint64(state, h)
	}
	return state, nil
}

// ImportCache adds exported state to the prefix cache.
func (e *Engine) ImportCache(ctx context.Context, state []byte) error {
	if len(state)%bytesPerHash != 0 {
		return fmt.Errorf("cached state has %d bytes, not a multiple of the hash size: %w", len(state), connector.ErrRefused)
	}
	if err := e.link.deliver(ctx); err != nil {
		return fmt.Errorf("send cached state: %w: %w", connector.ErrRefused, err)
	}
	if err := e.importState(state); err != nil {
		return err
	}
	if err := e.link.respondToWrite(ctx); err != nil {
		return fmt.Errorf("wait for the response to the import: %w: %w", connector.ErrBroken, err)
	}
	return nil
}

func (e *Engine) importState(state []byte) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.check(); err != nil {
		return err
	}
	hashes := make([]uint64, 0, len(state)/bytesPerHash)
	for ; len(state) > 0; state = state[bytesPerHash:] {
		hashes = append(hashes, binary.BigEndian.Uint64(state))
	}
	e.cache.add(hashes, time.Now())
	return nil
}
