package commander

import (
	"errors"
	"fmt"
	"regexp"
	"time"

	"github.com/dragonflyford/dragonflyford/drainer"
	"github.com/dragonflyford/dragonflyford/storer"
)

// drain is the command that writes or removes a drain row.
type drain struct {
	*session
	output
	Args struct {
		Name string `positional-arg-name:"NAME" description:"name of the node or endpoint"`
	} `positional-args:"yes" required:"yes"`
	kind   drainer.Kind
	remove bool
}

func drainCommands(s *session, remove bool) []subcommand {
	return []subcommand{
		{"node", "a dragonflyford node", &drain{session: s, kind: drainer.KindNode, remove: remove}},
		{"endpoint", "an engine or service", &drain{session: s, kind: drainer.KindEndpoint, remove: remove}},
	}
}

// drainDocument is the output of drain and undrain.
type drainDocument struct {
	Kind     drainer.Kind `json:"kind"`
	Name     string       `json:"name"`
	Draining bool         `json:"draining"`
}

// namePattern matches the names that bundles allow for endpoints.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._/-]{0,127}$`)

func (d *drain) Execute([]string) error {
	if !namePattern.MatchString(d.Args.Name) {
		return &SettingError{setting: "NAME", value: d.Args.Name, allowed: "a name of letters, digits, '.', '_', '/' or '-'"}
	}
	settings, p, err := d.open()
	if err != nil {
		return err
	}
	if err := d.apply(settings, p.table); err != nil {
		return err
	}
	text := fmt.Sprintf("%s %q is draining", d.kind, d.Args.Name)
	if d.remove {
		text = fmt.Sprintf("%s %q is not draining", d.kind, d.Args.Name)
	}
	return d.print(d.output, drainDocument{Kind: d.kind, Name: d.Args.Name, Draining: !d.remove}, text)
}

const (
	drainAttempts   = 5
	drainRetryDelay = 200 * time.Millisecond
)

// apply reads and writes the row until it is in the requested state. Reading it
// again also covers writes that succeeded although their response was lost.
func (d *drain) apply(settings *Settings, table storer.Table) error {
	var failed error
	for try := range drainAttempts {
		if try > 0 && !d.sleep(drainRetryDelay) {
			break
		}
		var done bool
		if done, failed = d.attempt(settings, table); done {
			return nil
		}
	}
	return fmt.Errorf("%s %q: %w", d.kind, d.Args.Name, failed)
}

// attempt reads the row and writes it if it is not in the requested state. It
// returns true if the row is in that state.
func (d *drain) attempt(settings *Settings, table storer.Table) (bool, error) {
	key := drainer.Key(d.kind, d.Args.Name)
	row, err := table.Get(d.ctx, key)
	absent := errors.Is(err, storer.ErrNotFound)
	if err != nil && !absent {
		return false, fmt.Errorf("read row %q: %w", key, err)
	}
	if absent == d.remove {
		return true, nil
	}
	var write storer.Write = storer.NewPut(key, []byte(settings.operator), 0)
	if d.remove {
		write = storer.NewDelete(key, row.Version())
	}
	if err := table.Commit(d.ctx, write); err != nil {
		return false, fmt.Errorf("write row %q: %w", key, err)
	}
	return true, nil
}
