package inspector

import (
	"fmt"
	"strconv"
	"time"

	"github.com/dragonflyford/dragonflyford/router"
)

// Finding is an entry that hosts accept although it cannot work as it says.
type Finding struct {
	entry     string
	problem   string
	permitted string
}

// Entry names the entry, such as route "a".
func (f Finding) Entry() string { return f.entry }

// Problem states what is wrong, with the value.
func (f Finding) Problem() string { return f.problem }

// Permitted states the limit that the entry exceeds or the condition that it lacks.
func (f Finding) Permitted() string { return f.permitted }

func (f Finding) String() string {
	return fmt.Sprintf("%s: %s; permitted: %s", f.entry, f.problem, f.permitted)
}

func routeEntry(r *router.Route) string { return fmt.Sprintf("route %q", r.Name()) }

func serviceEntry(name string) string { return fmt.Sprintf("service %q", name) }

func workspaceEntry(w *router.Workspace) string { return fmt.Sprintf("workspace %q", w.Name()) }

// keyEntry names a key by its position, counted from 1.
func keyEntry(w *router.Workspace, index int) string {
	return fmt.Sprintf("%s, key %d", workspaceEntry(w), index+1)
}

// number formats a number without an exponent, which large rates would get.
func number(n float64) string { return strconv.FormatFloat(n, 'f', -1, 64) }

// duration formats a duration, or returns "" for none.
func duration(d time.Duration) string {
	if d == 0 {
		return ""
	}
	return d.String()
}
