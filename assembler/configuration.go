package assembler

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/dragonflyford/dragonflyford/platform"
	"github.com/dragonflyford/dragonflyford/storer"
)

// readSilence is the longest time without a byte of a read for a call.
const readSilence = time.Second

// configurationReader implements authenticator.Refresher.
type configurationReader struct{ host *Host }

// Refresh reads the changes since the version of the table that this host has read, which
// are few bytes while there are none. If the store cannot give them, it reads the row. While
// the follower receives an answer it waits for that, which has a large configuration already.
func (r configurationReader) Refresh(ctx context.Context, onAnswer func()) error {
	if err := r.host.poller.AwaitArrival(ctx, onAnswer); err != nil {
		return fmt.Errorf("read changes of the configuration: %w", err)
	}
	table, operator := r.host.store.Table(platform.TableOperator), r.host.operator
	after := operator.Complete()
	if after == 0 {
		return r.readRow(ctx, table)
	}
	changes, err := table.Poll(ctx, storer.NewPoll(after, 0, readSilence).OnFirstByte(onAnswer))
	switch {
	case errors.Is(err, storer.ErrHistoryLost), err == nil && changes.Version().Era() != after.Era():
		return r.readRow(ctx, table)
	case err != nil:
		return fmt.Errorf("read changes of the configuration: %w", err)
	}
	return operator.advance(changes)
}

func (r configurationReader) readRow(ctx context.Context, table *platform.Table) error {
	row, found, err := table.Configuration(ctx)
	if err != nil {
		return fmt.Errorf("read the configuration: %w", err)
	}
	if !found {
		return nil // keeps the one in force
	}
	return operatorHandler(r).applyRows([]storer.Change{storer.NewChange(row)})
}
