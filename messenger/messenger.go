package messenger

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcpool"
	"storj.io/drpc/drpcserver"

	"github.com/dragonflyford/dragonflyford/encoder"
	"github.com/dragonflyford/dragonflyford/mirrorer"
	"github.com/dragonflyford/dragonflyford/storer"
	"github.com/dragonflyford/dragonflyford/supplier"
	"github.com/dragonflyford/dragonflyford/transporter"
)

const (
	idleTimeout = 20 * time.Second
	// inactivityTimeout is the time without a new call after which a connection of another
	// host is closed. That host normally closes it after idleTimeout; a frozen one does not.
	inactivityTimeout     = 3 * idleTimeout
	maxConnections        = 256 // total over all hosts
	maxConnectionsPerHost = 8
	ackTimeout            = 1500 * time.Millisecond // a host that acknowledges no data for this long is unreachable
	dialTimeout           = 500 * time.Millisecond
)

// Messenger sends messages to other hosts and handles theirs.
type Messenger struct {
	pool *drpcpool.Pool[string, *drpcconn.Conn]
	mux  *drpcmux.Mux
}

// New returns a messenger that passes incoming messages to handler.
func New(handler Handler) (*Messenger, error) {
	m := &Messenger{
		mux: drpcmux.New(),
		pool: drpcpool.New[string, *drpcconn.Conn](drpcpool.Options{
			Expiration: idleTimeout, Capacity: maxConnections, KeyCapacity: maxConnectionsPerHost,
		}),
	}
	if err := m.mux.Register(&service{handler: handler}, describe()); err != nil {
		return nil, fmt.Errorf("register methods: %w", err)
	}
	return m, nil
}

// Serve serves other hosts until ctx is done.
func (m *Messenger) Serve(ctx context.Context, listener net.Listener) error {
	server := drpcserver.NewWithOptions(m.mux, drpcserver.Options{Manager: drpcmanager.Options{InactivityTimeout: inactivityTimeout}})
	if err := server.Serve(ctx, listener); err != nil {
		return fmt.Errorf("serve peers: %w", err)
	}
	return nil
}

// Close closes the connections to other hosts.
func (m *Messenger) Close() error {
	if err := m.pool.Close(); err != nil {
		return fmt.Errorf("close connections: %w", err)
	}
	return nil
}

func (m *Messenger) invoke(ctx context.Context, address, method string, in, out any) error {
	conn := m.pool.Get(ctx, address, func(ctx context.Context, address string) (*drpcconn.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, dialTimeout)
		defer cancel()
		raw, err := transporter.Dial(ctx, address, ackTimeout)
		if err != nil {
			return nil, fmt.Errorf("connect to host: %w", err)
		}
		return drpcconn.New(raw), nil
	})
	defer func() { _ = conn.Close() }() // returns it to the pool
	if err := conn.Invoke(ctx, method, encoder.DRPC{}, in, out); err != nil {
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			m.closeIdle(address)
		}
		return fmt.Errorf("call %s at %s: %w", method, address, err)
	}
	return nil
}

// closeIdle closes the idle connections to a host that has not answered in time. They may be as
// dead as the one of that call, while new ones work.
func (m *Messenger) closeIdle(address string) {
	for {
		idle, ok := m.pool.Take(address)
		if !ok {
			return
		}
		_ = idle.Close()
	}
}

// Reserve requests capacity for a call on an engine from the engine's owner, the
// host at address.
func (m *Messenger) Reserve(ctx context.Context, address string, request supplier.ReserveRequest) (supplier.ReserveResponse, error) {
	in := reserveRequestDocument{
		Engine: request.Engine(), Model: encodeModel(request.Model()), Version: request.MinVersion(), ModelMissing: request.ModelMissing(),
		PromptTokens: request.PromptTokens(), ExpectedOutputTokens: request.ExpectedOutputTokens(), MaxWaitUS: request.MaxWait().Microseconds(),
		MaxLoadWaitUS: request.MaxLoadWait().Microseconds(), LastResort: request.LastResort(),
		Workspace: request.Workspace().Name(), Priority: request.Workspace().Priority(),
	}
	in.encodeSamples(request.Samples())
	for _, used := range request.ModelsInUse() {
		in.ModelsInUse = append(in.ModelsInUse, encodeModel(used))
	}
	var out reserveResponseDocument
	if err := m.invoke(ctx, address, methodReserve, &in, &out); err != nil {
		return nil, err
	}
	return decodeReserveResponse(&out), nil
}

// Snapshot returns the copy of a table that the host at address holds.
func (m *Messenger) Snapshot(ctx context.Context, address, table string) (mirrorer.Copy, error) {
	return m.follow(ctx, address, &followDocument{Table: table, Snapshot: true})
}

// Follow waits for changes in the copy of a table that the host at address
// holds.
func (m *Messenger) Follow(ctx context.Context, address, table string, after storer.Version, wait time.Duration) (mirrorer.Copy, error) {
	return m.follow(ctx, address, &followDocument{Table: table, After: uint64(after), WaitUS: wait.Microseconds()})
}

func (m *Messenger) follow(ctx context.Context, address string, in *followDocument) (mirrorer.Copy, error) {
	in.Packs = true
	var out copyDocument
	if err := m.invoke(ctx, address, methodFollow, in, &out); err != nil {
		return mirrorer.Copy{}, err
	}
	return decodeCopy(&out)
}
