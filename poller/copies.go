package poller

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/rotisserie/eris"

	"github.com/dragonflyford/dragonflyford/logger"
	"github.com/dragonflyford/dragonflyford/mirrorer"
	"github.com/dragonflyford/dragonflyford/storer"
)

// copyTimeout bounds the read of rows from another host, of which a configuration has up to
// 1 MB.
const copyTimeout = 2 * time.Second

var errCopyOutdated = eris.New("copy of the other host lacks the row that it announced")

// copyRows returns the rows after a version, or all rows, from the host that announces the
// latest one. It is called only when the store does not answer: a host that reaches the store
// must not depend on one that does not.
func (p *Poller) copyRows(ctx context.Context, after storer.Version) (storer.Changes, bool) {
	host, latest, ahead := p.elector.Ahead(p.rows.Latest(), time.Now())
	if !ahead || ctx.Err() != nil || p.avoided.Avoids(host) {
		return storer.Changes{}, false
	}
	address, known := p.address(host)
	if !known {
		return storer.Changes{}, false
	}
	copied, err := p.readCopy(ctx, address, after)
	if err == nil && copied.Changes().Version() < latest {
		err = errCopyOutdated
	}
	if err != nil {
		p.avoided.RecordFailure(host)
		p.log.Warn("rows-not-copied", logger.With(logger.KeyDependency, p.name), logger.With(logger.KeyPeer, host),
			logger.With(logger.KeyVersion, latest.Number()), logger.Err(err))
		return storer.Changes{}, false
	}
	changes := copied.Changes()
	p.log.Info("rows-copied", logger.With(logger.KeyDependency, p.name), logger.With(logger.KeyPeer, host),
		logger.With(logger.KeyVersion, changes.Version().Number()), logger.With(logger.KeyCount, len(changes.List())))
	return changes.Aged(copied.Age()), true
}

// readCopy returns the rows of another host after a version. It returns all rows if the host
// does not have the changes since then, or if after is 0.
func (p *Poller) readCopy(ctx context.Context, address string, after storer.Version) (mirrorer.Copy, error) {
	ctx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	if after > 0 {
		copied, err := p.remote.Follow(ctx, address, p.name, after, 0)
		if err == nil && copied.Changes().Version().Era() == after.Era() {
			return copied, nil
		}
		if err != nil && !errors.Is(err, storer.ErrHistoryLost) {
			return mirrorer.Copy{}, fmt.Errorf("follow the copy: %w", err)
		}
	}
	copied, err := p.remote.Snapshot(ctx, address, p.name)
	if err != nil {
		return mirrorer.Copy{}, fmt.Errorf("read the copy: %w", err)
	}
	return copied, nil
}
