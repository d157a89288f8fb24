package bundler

import (
	"fmt"
	"net"
	"net/url"
	"regexp"
	"slices"
	"strconv"
	"strings"
)

// Bounds of the values in a bundle. They reject slips such as a rate in loads
// per hour; none of them is a limit of the code.
const (
	formatVersion    = 1
	maxWeight        = 1_000_000
	maxShare         = 1_000_000
	maxSlots         = 1_024
	maxBatch         = 65_536
	maxStoreRate     = 10_000 // loads per second
	maxStoreInFlight = 10_000
	maxThreshold     = 3_600_000 // milliseconds
)

// namePattern leaves out @, which separates adapter and version, and white
// space, which cannot stand in a row key.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._/-]{0,127}$`)

const nameRule = "a name of at most 128 letters, digits, '.', '_', '/' or '-' that starts with a letter or digit"

var methods = []string{"DELETE", "GET", "HEAD", "PATCH", "POST", "PUT"}

// checker collects the faults of a decoded document.
type checker struct {
	faults []Fault
}

func (c *checker) fail(field, value, allowed string) {
	c.faults = append(c.faults, Fault{field: field, value: value, allowed: allowed})
}

// check returns every fault of a document.
func check(doc *Document) []Fault {
	c := &checker{}
	h := c.head(doc)
	c.adapters(h, doc.Adapters)
	c.traffic(doc.Adapters, doc.Traffic)
	return c.faults
}

// heads holds the names of a document's head that its adapters refer to.
type heads struct {
	bases   set
	regions set
}

type set map[string]bool

func (s set) allowed() string {
	all := make([]string, 0, len(s))
	for name := range s {
		all = append(all, strconv.Quote(name))
	}
	slices.Sort(all)
	if len(all) == 0 {
		return "(none is declared)"
	}
	return strings.Join(all, ", ")
}

func at(field string, i int) string { return field + "[" + strconv.Itoa(i) + "]" }

// name checks a name and that it is the first of its kind.
func (c *checker) name(field, name string, seen set) {
	if !namePattern.MatchString(name) {
		c.fail(field, strconv.Quote(name), nameRule)
		return
	}
	if seen[name] {
		c.fail(field, strconv.Quote(name), "unique")
	}
	seen[name] = true
}

// known checks a reference to a declared name.
func (c *checker) known(field, name, kind string, declared set) {
	if !declared[name] {
		c.fail(field, strconv.Quote(name), "a declared "+kind+": "+declared.allowed())
	}
}

func (c *checker) between(field string, value, low, high float64) {
	if !(value >= low && value <= high) {
		c.fail(field, strconv.FormatFloat(value, 'g', -1, 64), fmt.Sprintf("from %g to %g", low, high))
	}
}

func (c *checker) count(field string, value, low, high int) {
	if value < low || value > high {
		c.fail(field, strconv.Itoa(value), fmt.Sprintf("an integer from %d to %d", low, high))
	}
}

// head checks everything but adapters and traffic.
func (c *checker) head(doc *Document) heads {
	if doc.Format != formatVersion {
		c.fail("format", strconv.Itoa(doc.Format), strconv.Itoa(formatVersion))
	}
	c.name("version", doc.Version, set{})
	h := heads{bases: set{}, regions: set{}}
	centres := c.regions(h, doc.Regions)
	for i, b := range doc.Bases {
		c.name(at("bases", i)+".name", b.Name, h.bases)
	}
	services := set{}
	for i, s := range doc.Services {
		c.service(at("services", i), s, services)
	}
	endpoints := set{}
	for i, e := range doc.Endpoints {
		field := at("endpoints", i)
		c.name(field+".name", e.Name, endpoints)
		c.place(field, e, h, centres)
		c.kind(field, e, h, services)
	}
	c.numbers(doc)
	c.serviceLevels(doc.ServiceLevels)
	return h
}

// regions returns the region of each data centre.
func (c *checker) regions(h heads, docs []RegionDocument) map[string]string {
	if len(docs) == 0 {
		c.fail("regions", "[]", "at least one region")
	}
	centres, seen := map[string]string{}, set{}
	for i, r := range docs {
		field := at("regions", i)
		c.name(field+".name", r.Name, h.regions)
		if len(r.DataCentres) == 0 {
			c.fail(field+".data_centres", "[]", "at least one data centre")
		}
		for j, d := range r.DataCentres {
			c.name(at(field+".data_centres", j), d, seen)
			if _, ok := centres[d]; !ok {
				centres[d] = r.Name
			}
		}
	}
	return centres
}

func (c *checker) service(field string, s ServiceDocument, seen set) {
	c.name(field+".name", s.Name, seen)
	for i, call := range s.Calls {
		callField := at(field+".calls", i)
		if !slices.Contains(methods, call.Method) {
			c.fail(callField+".method", strconv.Quote(call.Method), "one of "+strings.Join(methods, ", "))
		}
		c.path(callField+".path", call.Path)
		for j, earlier := range s.Calls[:i] {
			if overlap(call, earlier) {
				c.fail(callField+".path", strconv.Quote(call.Path),
					fmt.Sprintf("a path that no request shares with calls[%d] %s %s", j, earlier.Method, earlier.Path))
			}
		}
	}
}

func (c *checker) path(field, path string) {
	const rule = "a path such as /accounts/{id} without query, white space or empty segments"
	if !strings.HasPrefix(path, "/") || strings.ContainsAny(path, "? #\t\r\n") {
		c.fail(field, strconv.Quote(path), rule)
		return
	}
	for _, s := range strings.Split(path[1:], "/") {
		inner := strings.TrimSuffix(strings.TrimPrefix(s, "{"), "}")
		braces := strings.HasPrefix(s, "{") && strings.HasSuffix(s, "}")
		if inner == "" || strings.ContainsAny(inner, "{}") || (inner != s && !braces) {
			c.fail(field, strconv.Quote(path), rule)
			return
		}
	}
}

// overlap reports whether one request can match both calls.
func overlap(a, b CallDocument) bool {
	x, y := splitPath(a.Path), splitPath(b.Path)
	if a.Method != b.Method || len(x) != len(y) {
		return false
	}
	for i := range x {
		if x[i] != y[i] && !strings.HasPrefix(x[i], "{") && !strings.HasPrefix(y[i], "{") {
			return false
		}
	}
	return true
}

func (c *checker) place(field string, e EndpointDocument, h heads, centres map[string]string) {
	if !validAddress(e.Address) {
		c.fail(field+".address", strconv.Quote(e.Address), "host:port or an http(s) URL with a host")
	}
	c.known(field+".region", e.Region, "region", h.regions)
	if region, ok := centres[e.DataCentre]; !ok || region != e.Region {
		c.fail(field+".data_centre", strconv.Quote(e.DataCentre), "a data centre of region "+strconv.Quote(e.Region))
	}
}

func validAddress(address string) bool {
	if strings.Contains(address, "://") {
		u, err := url.Parse(address)
		return err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Hostname() != ""
	}
	host, port, err := net.SplitHostPort(address)
	if err != nil || host == "" {
		return false
	}
	n, err := strconv.Atoi(port)
	return err == nil && n > 0 && n < 65_536
}

func (c *checker) kind(field string, e EndpointDocument, h heads, services set) {
	switch e.Kind {
	case KindEngine:
		c.known(field+".base", e.Base, "base", h.bases)
		c.count(field+".slots", e.Slots, 1, maxSlots)
		c.count(field+".batch", e.Batch, 1, maxBatch)
		if e.Service != "" {
			c.fail(field+".service", strconv.Quote(e.Service), "absent for an engine")
		}
	case KindService:
		c.known(field+".service", e.Service, "service", services)
		if e.Base != "" {
			c.fail(field+".base", strconv.Quote(e.Base), "absent for a service")
		}
		if e.Slots != 0 {
			c.fail(field+".slots", strconv.Itoa(e.Slots), "absent for a service")
		}
		if e.Batch != 0 {
			c.fail(field+".batch", strconv.Itoa(e.Batch), "absent for a service")
		}
	default:
		c.fail(field+".kind", strconv.Quote(e.Kind), `"engine" or "service"`)
	}
}

func (c *checker) numbers(doc *Document) {
	c.between("weights.load_stall", doc.Weights.LoadStall, 0, maxWeight)
	c.between("weights.batch_efficiency", doc.Weights.BatchEfficiency, 0, maxWeight)
	c.between("weights.cross_region", doc.Weights.CrossRegion, 0, maxWeight)
	if rate := doc.Limits.StoreLoadsPerSecond; !(rate > 0 && rate <= maxStoreRate) {
		c.fail("limits.store_loads_per_second", strconv.FormatFloat(rate, 'g', -1, 64), fmt.Sprintf("above 0 and at most %d", maxStoreRate))
	}
	c.count("limits.store_loads_in_flight", doc.Limits.StoreLoadsInFlight, 1, maxStoreInFlight)
	c.between("limits.retry_share", doc.Limits.RetryShare, 0, 1)
}

// Measures of service levels.
const (
	MeasureFirstToken = "first_token"
	MeasureTokenGap   = "token_gap"
	MeasureLoadStall  = "load_stall"
	MeasureSuccess    = "success"
)

func (c *checker) serviceLevels(docs []ServiceLevelDocument) {
	seen := set{}
	for i, d := range docs {
		field := at("service_levels", i)
		c.name(field+".name", d.Name, seen)
		switch d.Measure {
		case MeasureFirstToken, MeasureTokenGap, MeasureLoadStall:
			if !(d.ThresholdMS > 0 && d.ThresholdMS <= maxThreshold) {
				c.fail(field+".threshold_ms", strconv.FormatFloat(d.ThresholdMS, 'g', -1, 64), fmt.Sprintf("above 0 and at most %d", maxThreshold))
			}
		case MeasureSuccess:
			if d.ThresholdMS != 0 {
				c.fail(field+".threshold_ms", strconv.FormatFloat(d.ThresholdMS, 'g', -1, 64), "absent for success")
			}
		default:
			c.fail(field+".measure", strconv.Quote(d.Measure), `"first_token", "token_gap", "load_stall" or "success"`)
		}
		if !(d.Objective > 0 && d.Objective < 1) {
			c.fail(field+".objective", strconv.FormatFloat(d.Objective, 'g', -1, 64), "above 0 and below 1")
		}
	}
}

func (c *checker) adapters(h heads, docs []AdapterDocument) {
	seen := set{}
	for i, a := range docs {
		field := at("adapters", i)
		c.name(field+".name", a.Name, seen)
		c.references(field, h, a.Base, a.Regions)
		if len(a.Versions) == 0 {
			c.fail(field+".versions", "[]", "at least one version")
		}
		versions, regions := set{}, set{}
		for j, v := range a.Versions {
			c.name(at(field+".versions", j), v, versions)
		}
		for j, r := range a.Regions {
			c.name(at(field+".regions", j), r, regions)
		}
	}
}

// references checks what an adapter says about the head. A new head is checked
// against adapters that were decoded with an earlier one.
func (c *checker) references(field string, h heads, base string, regions []string) {
	c.known(field+".base", base, "base", h.bases)
	for j, r := range regions {
		c.known(at(field+".regions", j), r, "region", h.regions)
	}
}

func (c *checker) traffic(adapters []AdapterDocument, docs []TrafficDocument) {
	if len(docs) == 0 {
		return
	}
	offered := make(map[string][]string, len(adapters))
	for _, a := range adapters {
		if _, ok := offered[a.Name]; !ok {
			offered[a.Name] = a.Versions
		}
	}
	seen := set{}
	for i, t := range docs {
		field := at("traffic", i)
		versions, ok := offered[t.Adapter]
		if !ok {
			c.fail(field+".adapter", strconv.Quote(t.Adapter), "a declared adapter")
			continue
		}
		c.name(field+".adapter", t.Adapter, seen)
		c.shares(field, versions, t.Shares)
	}
}

func (c *checker) shares(field string, versions []string, docs []ShareDocument) {
	if len(docs) == 0 {
		c.fail(field+".shares", "[]", "at least one share")
	}
	seen := set{}
	for i, s := range docs {
		shareField := at(field+".shares", i)
		if !slices.Contains(versions, s.Version) {
			c.fail(shareField+".version", strconv.Quote(s.Version), "an offered version: "+strings.Join(versions, ", "))
		}
		c.name(shareField+".version", s.Version, seen)
		c.count(shareField+".weight", s.Weight, 1, maxShare)
	}
}
