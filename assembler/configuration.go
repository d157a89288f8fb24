package assembler

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/dragonflyford/dragonflyford/logger"
	"github.com/dragonflyford/dragonflyford/platform"
	"github.com/dragonflyford/dragonflyford/storer"
)

const (
	// announcedReadTimeout is how long the store has to answer a host to which a newer
	// configuration was announced, before the host asks the one that has it. Together with the interval of
	// the heartbeats and announcedCopyTimeout it stays below the time within which a
	// configuration has to be in force.
	announcedReadTimeout = 500 * time.Millisecond
	// announcedCopyTimeout bounds the read of a configuration, of up to 1 MB, from another host.
	announcedCopyTimeout = 2 * time.Second
	// absentRetryInterval is the time between two reads for the same version if the store answered
	// without it. A store that was restored from an older copy does not have it.
	absentRetryInterval = 4 * time.Second
)

// configurationReader implements authenticator.Refresher.
type configurationReader struct{ host *Host }

// Refresh reads the changes since the version of the table that this host has read, which
// are few bytes while there are none. If the store cannot give them, it reads the row.
func (r configurationReader) Refresh(ctx context.Context) error {
	table, handler := r.host.store.Table(platform.TableOperator), operatorHandler(r)
	after := storer.Version(r.host.operatorVersion.Load())
	if after == 0 {
		return r.readRow(ctx, table)
	}
	changes, err := table.Follow(ctx, after, 0)
	switch {
	case errors.Is(err, storer.ErrHistoryLost), err == nil && changes.Version().Era() != after.Era():
		return r.readRow(ctx, table)
	case err != nil:
		return fmt.Errorf("read changes of the configuration: %w", err)
	}
	if err := handler.applyRows(changes.List()); err != nil {
		return err
	}
	handler.recordVersion(changes.Version())
	return nil
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

// announcedConfiguration is the version of the configuration that a heartbeat announces.
type announcedConfiguration struct {
	host    string
	version int64
}

// recordAnnouncement records that a host of the data centre announced a newer configuration.
func (h *Host) recordAnnouncement(host string, version int64) {
	h.operatorFollower.Refresh()
	select {
	case h.announced <- announcedConfiguration{host: host, version: version}:
	default: // another one is pending; heartbeats repeat
	}
}

// followAnnounced obtains the configurations that other hosts announce.
func (h *Host) followAnnounced(ctx context.Context) {
	var absent announcedConfiguration // the latest that the store did not have
	var absentAt time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case announced := <-h.announced:
			if announced.version <= h.configurationVersion() || announced.version <= absent.version && time.Since(absentAt) < absentRetryInterval {
				continue
			}
			if h.obtainConfiguration(ctx, announced) && h.configurationVersion() < announced.version {
				absent, absentAt = announced, time.Now()
			}
		}
	}
}

// obtainConfiguration reads the configuration at the store and, only if the store does not
// answer, from the host that has it. It reports whether the store answered: a host that
// reaches the store must not depend on one that does not.
func (h *Host) obtainConfiguration(ctx context.Context, announced announcedConfiguration) (stored bool) {
	limited, cancel := context.WithTimeout(ctx, announcedReadTimeout)
	err := h.authenticator.Refresh(limited, time.Now())
	cancel()
	if err == nil {
		return true
	}
	peer := h.members.View().Host(announced.host)
	if ctx.Err() != nil || peer == nil || h.unresponsive.Avoids(announced.host) || announced.version <= h.configurationVersion() {
		return false
	}
	limited, cancel = context.WithTimeout(ctx, announcedCopyTimeout)
	defer cancel()
	copied, err := h.messenger.Snapshot(limited, peer.PeerAddress(), platform.TableOperator)
	if err == nil {
		err = operatorHandler{h}.applyRows(copied.Changes().List())
	}
	if err != nil || h.configurationVersion() < announced.version {
		h.unresponsive.RecordFailure(announced.host)
		h.log.Warn("configuration-not-copied", logger.With(logger.KeyPeer, announced.host), logger.With(logger.KeyVersion, announced.version), logger.Err(err))
		return false
	}
	h.log.Info("configuration-copied", logger.With(logger.KeyPeer, announced.host), logger.With(logger.KeyVersion, h.configurationVersion()))
	return false
}

// configurationVersion returns the version of the configuration in force, or 0.
func (h *Host) configurationVersion() int64 {
	if t := h.router.Current(); t != nil {
		return t.Version()
	}
	return 0
}
