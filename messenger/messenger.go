package messenger

import (
	"context"
	"fmt"
	"net"
	"time"

	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcpool"
	"storj.io/drpc/drpcserver"

	"github.com/dragonflyford/dragonflyford/encoder"
	"github.com/dragonflyford/dragonflyford/mirrorer"
	"github.com/dragonflyford/dragonflyford/screener"
	"github.com/dragonflyford/dragonflyford/storer"
	"github.com/dragonflyford/dragonflyford/supplier"
	"github.com/dragonflyford/dragonflyford/transporter"
)

const (
	idleTime       = 20 * time.Second
	maxConnections = 256 // in all
	maxPerHost     = 8
	silence        = 1500 * time.Millisecond // a host that acknowledges nothing for so long is lost
	dialTimeout    = 500 * time.Millisecond
)

// Messenger sends messages to other hosts and answers theirs.
type Messenger struct {
	pool *drpcpool.Pool[string, *drpcconn.Conn]
	mux  *drpcmux.Mux
}

// New returns a messenger that answers with handler.
func New(handler Handler) (*Messenger, error) {
	m := &Messenger{
		mux: drpcmux.New(),
		pool: drpcpool.New[string, *drpcconn.Conn](drpcpool.Options{
			Expiration: idleTime, Capacity: maxConnections, KeyCapacity: maxPerHost,
		}),
	}
	if err := m.mux.Register(&service{handler: handler}, describe()); err != nil {
		return nil, fmt.Errorf("register methods: %w", err)
	}
	return m, nil
}

// Serve answers other hosts until ctx ends.
func (m *Messenger) Serve(ctx context.Context, listener net.Listener) error {
	if err := drpcserver.New(m.mux).Serve(ctx, listener); err != nil {
		return fmt.Errorf("serve hosts: %w", err)
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
		raw, err := transporter.Dial(ctx, address, silence)
		if err != nil {
			return nil, fmt.Errorf("connect to host: %w", err)
		}
		return drpcconn.New(raw), nil
	})
	defer func() { _ = conn.Close() }() // gives it back to the pool
	if err := conn.Invoke(ctx, method, encoder.DRPC{}, in, out); err != nil {
		return fmt.Errorf("call %s at %s: %w", method, address, err)
	}
	return nil
}

// Reserve asks the host at an address for a place on an engine that it owns.
func (m *Messenger) Reserve(ctx context.Context, address string, w supplier.ReserveRequest) (supplier.ReserveResponse, error) {
	in := wantDocument{
		Engine: w.Engine(), Model: encodeModel(w.Model()), Version: w.MinVersion(), Missing: w.ModelMissing(),
		Tokens: w.PromptTokens(), Output: w.OutputTokens(), WaitUS: w.MaxWait().Microseconds(),
	}
	for _, used := range w.ModelsInUse() {
		in.Used = append(in.Used, encodeModel(used))
	}
	var out supplyDocument
	if err := m.invoke(ctx, address, methodSupply, &in, &out); err != nil {
		return nil, err
	}
	return decodeSupply(&out), nil
}

// SendMarks sends evidence against calls to the host at an address.
func (m *Messenger) SendMarks(ctx context.Context, address string, marks []screener.Mark) error {
	in := &accuseDocument{}
	for _, mark := range marks {
		in.Marks = append(in.Marks, markDocument{Call: uint64(mark.Call()), Endpoint: mark.Endpoint()})
	}
	return m.invoke(ctx, address, methodAccuse, in, &emptyDocument{})
}

// Snapshot reads the copy of a table at the host at an address.
func (m *Messenger) Snapshot(ctx context.Context, address, table string) (mirrorer.Copy, error) {
	return m.follow(ctx, address, &followDocument{Table: table, Whole: true})
}

// Follow waits for changes of a table at the host at an address.
func (m *Messenger) Follow(ctx context.Context, address, table string, after storer.Version, wait time.Duration) (mirrorer.Copy, error) {
	return m.follow(ctx, address, &followDocument{Table: table, After: uint64(after), WaitUS: wait.Microseconds()})
}

func (m *Messenger) follow(ctx context.Context, address string, in *followDocument) (mirrorer.Copy, error) {
	var out copyDocument
	if err := m.invoke(ctx, address, methodFollow, in, &out); err != nil {
		return mirrorer.Copy{}, err
	}
	return decodeCopy(&out)
}
