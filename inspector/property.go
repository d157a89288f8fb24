package inspector

import (
	"fmt"
	"strings"
	"time"

	"github.com/dragonflyford/dragonflyford/router"
)

// property is a value of an entry and its effect on callers. The properties of entries of
// one kind have the same names in the same order.
type property struct {
	name   string
	value  string // "" for none
	effect string
}

// describe lists the properties that have a value.
func describe(list []property) string {
	var parts []string
	for _, p := range list {
		if p.value != "" {
			parts = append(parts, p.name+" "+p.value)
		}
	}
	return strings.Join(parts, ", ")
}

// propertyHidden is the name of the property that holds the route which gets the calls instead.
const propertyHidden = "hidden by"

func routeProperties(t *router.Table, r *router.Route) []property {
	hidden, hiddenEffect := "", "the route gets the calls that match it"
	first := hiddenBy(t, r)
	if first != nil {
		hidden, hiddenEffect = routeEntry(first), "the other route gets the calls"
	}
	list := []property{
		{"path", path(r), ""}, // the effect depends on both tables
		{propertyHidden, hidden, hiddenEffect},
		repeatProperty(r.RepeatPolicy()),
		timeoutProperty(r.Timeout()),
		{"objective", duration(r.Objective()), "the times that calls wait for their turn and for an endpoint are derived from it"},
		{"priority", fmt.Sprint(r.Priority()), "calls without a workspace have this priority, 0 being the most urgent"},
		{"attempts", fmt.Sprint(r.MaxAttempts()), fmt.Sprintf("a call is sent to %d endpoints at most", r.MaxAttempts())},
		{"targets", targets(r.Targets()), "calls are divided among these services by weight"},
		{"acceptable pause", duration(r.PauseAim()), "streams are planned for pauses of this length at most"},
		keyProperty(t, r),
	}
	for i := range list {
		if first != nil && list[i].name != propertyHidden {
			list[i].effect = "none, because " + hidden + " gets the calls"
		}
	}
	return list
}

func path(r *router.Route) string { return r.Host() + r.Prefix() }

func repeatProperty(p router.RepeatPolicy) property {
	const name = "repeat policy"
	switch p := p.(type) {
	case router.Idempotent:
		return property{name, "idempotent", "a call may run more than once"}
	case router.Stream:
		if p.Resumable() {
			return property{name, "resumable stream", "an interrupted stream resumes at another endpoint"}
		}
		return property{name, "stream", "an interrupted stream does not resume at another endpoint"}
	default:
		return property{name, "at most once", "a call runs once at most, and one that may have run is not repeated"}
	}
}

func timeoutProperty(d time.Duration) property {
	if d <= 0 {
		return property{"timeout", "", "calls wait as long as their callers ask, or for the default time of hosts"}
	}
	return property{"timeout", d.String(), fmt.Sprintf("calls wait for %v at most", d)}
}

func targets(list []router.Target) string {
	var parts []string
	for _, t := range list {
		parts = append(parts, fmt.Sprintf("%q (weight %d)", t.Service(), t.Weight()))
	}
	return strings.Join(parts, " and ")
}

func keyProperty(t *router.Table, r *router.Route) property {
	p := property{"key", "required", "calls without a key of a workspace get 401"}
	if r.Keyless() {
		p.value, p.effect = "not required", "calls need no key and belong to no workspace"
	}
	if !t.HasWorkspaces() {
		p.effect = "none, because without workspaces calls need no keys"
	}
	return p
}

func serviceProperties(s *router.Service) []property {
	return []property{
		{"connections", fmt.Sprint(s.MaxConnections()), "hosts divide this number of connections to an endpoint among them"},
		{"engine", engine(s.EngineSpec()), "calls and loads of adapters are planned by these figures"},
	}
}

func engine(e *router.EngineSpec) string {
	if e == nil {
		return ""
	}
	text := fmt.Sprintf("of %d job slots, %d adapter slots and %s MB", e.Slots(), e.AdapterSlots(), number(e.MemoryMB()))
	for _, b := range e.Bases() {
		text += fmt.Sprintf(" and base model %q (%s MB, adapter %s MB)", b.Name(), number(b.WeightsMB()), number(b.AdapterMB()))
	}
	return text
}

func workspaceProperties(w *router.Workspace) []property {
	q := w.Quota()
	unit, plain, plainEffect := "calls", "", "a call without token counts costs 1"
	if tokens, ok := q.Unit().(router.Tokens); ok {
		unit, plain = "tokens", fmt.Sprint(tokens.Plain())
		plainEffect = "a call without token counts costs " + plain
	}
	rate := property{"rate per second", "", "no call gets 429 because of a quota"}
	burst := property{"burst", number(q.Burst()), "none, because without a rate there is no limit"}
	if q.Limited() {
		rate.value = number(q.Rate())
		rate.effect = fmt.Sprintf("calls beyond %s %s a second get 429 once the burst is used up", rate.value, unit)
		burst.effect = fmt.Sprintf("up to %s %s at once are granted beyond the rate", burst.value, unit)
	}
	return []property{
		{"priority", fmt.Sprint(w.Priority()), "its calls have this priority, 0 being the most urgent"},
		{"unit", unit, fmt.Sprintf("its quota counts %s", unit)},
		{"cost without counts", plain, plainEffect},
		rate, burst,
	}
}

func limitProperties(l router.Limits) []property {
	size := func(n int64) string {
		if n == 0 {
			return ""
		}
		return fmt.Sprintf("%d bytes", n)
	}
	effect := func(set bool, text string) string {
		if !set {
			return "the limit in the settings of the hosts applies"
		}
		return text
	}
	return []property{
		{"body", size(l.BodyBytes()), effect(l.BodyBytes() != 0, "calls with a longer body are refused")},
		{"header", size(int64(l.HeaderBytes())), effect(l.HeaderBytes() != 0, "calls with a longer header are refused")},
		{"header time", duration(l.HeaderTimeout()), effect(l.HeaderTimeout() != 0, "connections on which a header takes longer are closed")},
		{"idle time", duration(l.IdleTimeout()), effect(l.IdleTimeout() != 0, "connections that are idle for longer are closed")},
	}
}
