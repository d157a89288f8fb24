package emulator

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"sync"
	"time"

	"github.com/dragonflyford/dragonflyford/connector"
	"github.com/dragonflyford/dragonflyford/sleeper"
)

// Service is a fake of a plain service. It counts executions by operation id.
// An operation that was delivered runs even if its caller gives up.
type Service struct {
	link     *link
	duration time.Duration
	fencing  bool

	mu         sync.Mutex
	executions map[string]int
	revoked    map[string]struct{}
	previous   connector.Operation // the last one that was answered
	answered   bool
}

// NewService returns a service without executions.
func NewService(opts ...Option) *Service {
	s := newSettings(opts)
	return &Service{
		link:       newLink(s),
		duration:   s.duration,
		fencing:    s.fencing,
		executions: make(map[string]int),
		revoked:    make(map[string]struct{}),
	}
}

// Inject adds a fault: Down, Slow, AnswerLost or Crossed.
func (s *Service) Inject(f Fault) error {
	switch f.(type) {
	case Down, Slow, AnswerLost, Crossed:
		s.link.inject(f)
		return nil
	default:
		return &UnsupportedFaultError{fake: "service", fault: f}
	}
}

// Clear ends all faults.
func (s *Service) Clear() { s.link.clear() }

// Call executes an operation.
func (s *Service) Call(ctx context.Context, op connector.Operation) (connector.Reply, error) {
	if err := s.link.deliver(ctx); err != nil {
		if s.link.deliveredLate(err) {
			s.begin(op.ID())
		}
		return connector.Reply{}, fmt.Errorf("send operation: %w: %w", endpointSendError(err), err)
	}
	if !s.begin(op.ID()) {
		return connector.Reply{}, fmt.Errorf("operation %q is revoked: %w", op.ID(), connector.ErrFenced)
	}
	if err := sleeper.Sleep(ctx, s.duration); err != nil {
		return connector.Reply{}, fmt.Errorf("wait for the operation: %w: %w", connector.ErrBroken, err)
	}
	if err := s.link.respondToWrite(ctx); err != nil {
		return connector.Reply{}, fmt.Errorf("wait for the reply: %w: %w", connector.ErrBroken, err)
	}
	return s.reply(op)
}

// reply returns the reply to an operation, or that to the previous one if
// Crossed affects it.
func (s *Service) reply(op connector.Operation) (connector.Reply, error) {
	s.mu.Lock()
	if s.answered && s.link.crosses() {
		op = s.previous
	}
	s.previous = op
	s.answered = true
	s.mu.Unlock()
	body, err := json.Marshal(struct {
		Operation string `json:"operation"`
	}{op.ID()})
	if err != nil {
		return connector.Reply{}, fmt.Errorf("encode reply: %w", err)
	}
	return connector.NewReply(op.Attempt(), http.StatusOK, "application/json", body), nil
}

// begin counts an execution unless the operation is revoked.
func (s *Service) begin(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.revoked[id]; ok {
		return false
	}
	s.executions[id]++
	return true
}

// Revoke makes the service reject an operation from now on and reports whether
// it ran before. A service without fencing returns connector.ErrRefused.
func (s *Service) Revoke(ctx context.Context, operation string) (bool, error) {
	if err := s.link.deliver(ctx); err != nil {
		return false, fmt.Errorf("send revocation: %w: %w", endpointSendError(err), err)
	}
	if !s.fencing {
		return false, fmt.Errorf("service does not support revocation: %w", connector.ErrRefused)
	}
	s.mu.Lock()
	s.revoked[operation] = struct{}{}
	ran := s.executions[operation] > 0
	s.mu.Unlock()
	if err := s.link.respondToWrite(ctx); err != nil {
		return false, fmt.Errorf("wait for the revocation: %w: %w", connector.ErrBroken, err)
	}
	return ran, nil
}

// Executions returns how often each operation ran.
func (s *Service) Executions() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.executions)
}
