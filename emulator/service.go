package emulator

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"sync"

	"github.com/dragonflyford/dragonflyford/connector"
)

// Service is a fake of a plain service. It counts what it executed per operation
// id.
type Service struct {
	mu         sync.Mutex
	executions map[string]int
}

// NewService returns a service that has executed nothing.
func NewService() *Service { return &Service{executions: make(map[string]int)} }

// Call executes an operation.
func (s *Service) Call(_ context.Context, op connector.Operation) (connector.Reply, error) {
	s.mu.Lock()
	s.executions[op.ID()]++
	s.mu.Unlock()
	body, err := json.Marshal(struct {
		Operation string `json:"operation"`
	}{op.ID()})
	if err != nil {
		return connector.Reply{}, fmt.Errorf("encode reply: %w", err)
	}
	return connector.NewReply(op.Attempt(), http.StatusOK, "application/json", body), nil
}

// Executions returns how often each operation ran.
func (s *Service) Executions() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.executions)
}
