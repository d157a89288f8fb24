package commander

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/dragonflyford/dragonflyford/reporter"
)

// reportBurn is the command that prints the burn rates of the service levels.
type reportBurn struct {
	*session
	output
	HTML   string `long:"html" value-name:"FILE" description:"write one HTML page with charts"`
	Window string `long:"window" value-name:"WINDOW" default:"3d" choice:"5m" choice:"1h" choice:"6h" choice:"3d" description:"longest window to read"`
}

func (c *reportBurn) Execute([]string) error {
	if c.JSON && c.HTML != "" {
		return &SettingError{setting: "--html", value: c.HTML, allowed: "absent with --json"}
	}
	longest, err := reporter.ParseWindow(c.Window)
	if err != nil {
		return &SettingError{setting: "--window", value: c.Window, allowed: err.Error()}
	}
	_, platform, err := c.open()
	if err != nil {
		return err
	}
	r, err := reporter.Read(c.ctx, platform.objects, time.Now(), longest)
	if err != nil {
		return err
	}
	if c.HTML != "" {
		return c.writePage(r)
	}
	var text strings.Builder
	if err := r.WriteText(&text); err != nil {
		return err
	}
	return c.print(c.output, r, strings.TrimRight(text.String(), "\n"))
}

func (c *reportBurn) writePage(r *reporter.Report) error {
	f, err := os.Create(c.HTML)
	if err != nil {
		return &SettingError{setting: "--html", value: c.HTML, allowed: "a file that can be written: " + err.Error()}
	}
	if err := errors.Join(r.WriteHTML(f), f.Close()); err != nil {
		return fmt.Errorf("write %s: %w", c.HTML, err)
	}
	return nil
}

// reportPrune is the command that removes old history, also of nodes that no
// longer exist.
type reportPrune struct {
	*session
	output
	Older time.Duration `long:"older" value-name:"DURATION" default:"1080h" description:"remove history older than this; at least 72h, the longest window"`
}

// pruneDocument is the output of report prune.
type pruneDocument struct {
	Removed int `json:"removed"`
}

func (c *reportPrune) Execute([]string) error {
	if c.Older < reporter.ThreeDays.Length() {
		return &SettingError{setting: "--older", value: c.Older.String(), allowed: "72h or more"}
	}
	_, platform, err := c.open()
	if err != nil {
		return err
	}
	removed, err := reporter.PruneAll(c.ctx, platform.objects, time.Now().Add(-c.Older))
	if err != nil {
		return err
	}
	return c.print(c.output, pruneDocument{Removed: removed}, fmt.Sprintf("%d objects removed", removed))
}
