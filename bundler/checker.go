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

// Bounds of the values in a bundle. They reject mistakes such as a rate given
// in loads per hour; none of them is a limit of the implementation.
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

// namePattern excludes @, which separates adapter and version, and white space,
// which is not allowed in a row key.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._/-]{0,127}$`)

const nameRule = "a name of at most 128 letters, digits, '.', '_', '/' or '-' that starts with a letter or digit"

var methods = []string{"DELETE", "GET", "HEAD", "PATCH", "POST", "PUT"}

// checker collects the faults of a decoded document.
type checker struct {
	faults []Fault
}

func (c *checker) addFault(field, value, allowed string) {
	c.faults = append(c.faults, Fault{field: field, value: value, allowed: allowed})
}

// check returns all faults of a document.
func check(doc *Document) []Fault {
	c := &checker{}
	declared := c.head(doc)
	c.adapters(declared, doc.Adapters)
	c.traffic(doc.Adapters, doc.Traffic)
	return c.faults
}

// declaredNames holds the names declared in the head of a document that
// adapters refer to.
type declaredNames struct {
	bases   set
	regions set
}

type set map[string]bool

func (s set) list() string {
	all := make([]string, 0, len(s))
	for name := range s {
		all = append(all, strconv.Quote(name))
	}
	slices.Sort(all)
	if len(all) == 0 {
		return "(none declared)"
	}
	return strings.Join(all, ", ")
}

func indexed(field string, i int) string { return field + "[" + strconv.Itoa(i) + "]" }

// uniqueName checks the form of a name and that it is not in seen, and adds it
// to seen.
func (c *checker) uniqueName(field, name string, seen set) {
	if !namePattern.MatchString(name) {
		c.addFault(field, strconv.Quote(name), nameRule)
		return
	}
	if seen[name] {
		c.addFault(field, strconv.Quote(name), "unique")
	}
	seen[name] = true
}

// reference checks that a name is declared.
func (c *checker) reference(field, name, kind string, declared set) {
	if !declared[name] {
		c.addFault(field, strconv.Quote(name), "a declared "+kind+": "+declared.list())
	}
}

func (c *checker) floatRange(field string, value, low, high float64) {
	if !(value >= low && value <= high) {
		c.addFault(field, strconv.FormatFloat(value, 'g', -1, 64), fmt.Sprintf("from %g to %g", low, high))
	}
}

func (c *checker) intRange(field string, value, low, high int) {
	if value < low || value > high {
		c.addFault(field, strconv.Itoa(value), fmt.Sprintf("an integer from %d to %d", low, high))
	}
}

// head checks everything except adapters and traffic and returns the names that
// adapters may refer to.
func (c *checker) head(doc *Document) declaredNames {
	if doc.Format != formatVersion {
		c.addFault("format", strconv.Itoa(doc.Format), strconv.Itoa(formatVersion))
	}
	c.uniqueName("version", doc.Version, set{})
	declared := declaredNames{bases: set{}, regions: set{}}
	regionOf := c.regions(declared, doc.Regions)
	for i, b := range doc.Bases {
		c.uniqueName(indexed("bases", i)+".name", b.Name, declared.bases)
	}
	services := set{}
	for i, s := range doc.Services {
		c.service(indexed("services", i), s, services)
	}
	endpoints := set{}
	for i, e := range doc.Endpoints {
		field := indexed("endpoints", i)
		c.uniqueName(field+".name", e.Name, endpoints)
		c.location(field, e, declared, regionOf)
		c.kind(field, e, declared, services)
	}
	c.weightsAndLimits(doc)
	c.serviceLevels(doc.ServiceLevels)
	return declared
}

// regions checks the regions and returns the region of each data centre.
func (c *checker) regions(declared declaredNames, docs []RegionDocument) map[string]string {
	if len(docs) == 0 {
		c.addFault("regions", "[]", "at least one region")
	}
	regionOf, seen := map[string]string{}, set{}
	for i, r := range docs {
		field := indexed("regions", i)
		c.uniqueName(field+".name", r.Name, declared.regions)
		if len(r.DataCentres) == 0 {
			c.addFault(field+".data_centres", "[]", "at least one data centre")
		}
		for j, d := range r.DataCentres {
			c.uniqueName(indexed(field+".data_centres", j), d, seen)
			if _, ok := regionOf[d]; !ok {
				regionOf[d] = r.Name
			}
		}
	}
	return regionOf
}

func (c *checker) service(field string, s ServiceDocument, seen set) {
	c.uniqueName(field+".name", s.Name, seen)
	for i, call := range s.Calls {
		callField := indexed(field+".calls", i)
		if !slices.Contains(methods, call.Method) {
			c.addFault(callField+".method", strconv.Quote(call.Method), "one of "+strings.Join(methods, ", "))
		}
		c.path(callField+".path", call.Path)
		for j, earlier := range s.Calls[:i] {
			if overlaps(call, earlier) {
				c.addFault(callField+".path", strconv.Quote(call.Path),
					fmt.Sprintf("a path that does not overlap with calls[%d] %s %s", j, earlier.Method, earlier.Path))
			}
		}
	}
}

func (c *checker) path(field, path string) {
	const rule = "a path such as /accounts/{id} without query, white space or empty segments"
	if !strings.HasPrefix(path, "/") || strings.ContainsAny(path, "? #\t\r\n") {
		c.addFault(field, strconv.Quote(path), rule)
		return
	}
	for _, s := range strings.Split(path[1:], "/") {
		inner := strings.TrimSuffix(strings.TrimPrefix(s, "{"), "}")
		braces := strings.HasPrefix(s, "{") && strings.HasSuffix(s, "}")
		if inner == "" || strings.ContainsAny(inner, "{}") || (inner != s && !braces) {
			c.addFault(field, strconv.Quote(path), rule)
			return
		}
	}
}

// overlaps reports whether a request can match both calls.
func overlaps(a, b CallDocument) bool {
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

func (c *checker) location(field string, e EndpointDocument, declared declaredNames, regionOf map[string]string) {
	if !validAddress(e.Address) {
		c.addFault(field+".address", strconv.Quote(e.Address), "host:port or an http(s) URL with a host")
	}
	c.reference(field+".region", e.Region, "region", declared.regions)
	if region, ok := regionOf[e.DataCentre]; !ok || region != e.Region {
		c.addFault(field+".data_centre", strconv.Quote(e.DataCentre), "a data centre of region "+strconv.Quote(e.Region))
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

func (c *checker) kind(field string, e EndpointDocument, declared declaredNames, services set) {
	switch e.Kind {
	case KindEngine:
		c.reference(field+".base", e.Base, "base", declared.bases)
		c.intRange(field+".slots", e.Slots, 1, maxSlots)
		c.intRange(field+".batch", e.Batch, 1, maxBatch)
		if e.Service != "" {
			c.addFault(field+".service", strconv.Quote(e.Service), "absent for an engine")
		}
	case KindService:
		c.reference(field+".service", e.Service, "service", services)
		if e.Base != "" {
			c.addFault(field+".base", strconv.Quote(e.Base), "absent for a service")
		}
		if e.Slots != 0 {
			c.addFault(field+".slots", strconv.Itoa(e.Slots), "absent for a service")
		}
		if e.Batch != 0 {
			c.addFault(field+".batch", strconv.Itoa(e.Batch), "absent for a service")
		}
	default:
		c.addFault(field+".kind", strconv.Quote(e.Kind), `"engine" or "service"`)
	}
}

func (c *checker) weightsAndLimits(doc *Document) {
	c.floatRange("weights.load_stall", doc.Weights.LoadStall, 0, maxWeight)
	c.floatRange("weights.batch_efficiency", doc.Weights.BatchEfficiency, 0, maxWeight)
	c.floatRange("weights.cross_region", doc.Weights.CrossRegion, 0, maxWeight)
	if rate := doc.Limits.StoreLoadsPerSecond; !(rate > 0 && rate <= maxStoreRate) {
		c.addFault("limits.store_loads_per_second", strconv.FormatFloat(rate, 'g', -1, 64), fmt.Sprintf("above 0 and at most %d", maxStoreRate))
	}
	c.intRange("limits.store_loads_in_flight", doc.Limits.StoreLoadsInFlight, 1, maxStoreInFlight)
	c.floatRange("limits.retry_share", doc.Limits.RetryShare, 0, 1)
}

// Values of the field measure of a service level.
const (
	MeasureFirstToken = "first_token"
	MeasureTokenGap   = "token_gap"
	MeasureLoadStall  = "load_stall"
	MeasureSuccess    = "success"
)

func (c *checker) serviceLevels(docs []ServiceLevelDocument) {
	seen := set{}
	for i, d := range docs {
		field := indexed("service_levels", i)
		c.uniqueName(field+".name", d.Name, seen)
		switch d.Measure {
		case MeasureFirstToken, MeasureTokenGap, MeasureLoadStall:
			if !(d.ThresholdMS > 0 && d.ThresholdMS <= maxThreshold) {
				c.addFault(field+".threshold_ms", strconv.FormatFloat(d.ThresholdMS, 'g', -1, 64), fmt.Sprintf("above 0 and at most %d", maxThreshold))
			}
		case MeasureSuccess:
			if d.ThresholdMS != 0 {
				c.addFault(field+".threshold_ms", strconv.FormatFloat(d.ThresholdMS, 'g', -1, 64), "absent for success")
			}
		default:
			c.addFault(field+".measure", strconv.Quote(d.Measure), `"first_token", "token_gap", "load_stall" or "success"`)
		}
		if !(d.Objective > 0 && d.Objective < 1) {
			c.addFault(field+".objective", strconv.FormatFloat(d.Objective, 'g', -1, 64), "above 0 and below 1")
		}
	}
}

func (c *checker) adapters(declared declaredNames, docs []AdapterDocument) {
	seen := set{}
	for i, a := range docs {
		field := indexed("adapters", i)
		c.uniqueName(field+".name", a.Name, seen)
		c.adapterReferences(field, declared, a.Base, a.Regions)
		if len(a.Versions) == 0 {
			c.addFault(field+".versions", "[]", "at least one version")
		}
		versions, regions := set{}, set{}
		for j, v := range a.Versions {
			c.uniqueName(indexed(field+".versions", j), v, versions)
		}
		for j, r := range a.Regions {
			c.uniqueName(indexed(field+".regions", j), r, regions)
		}
	}
}

// adapterReferences checks the base model and the regions of an adapter. It is
// separate from adapters because a new head must also be checked against
// adapters that were decoded together with an earlier head.
func (c *checker) adapterReferences(field string, declared declaredNames, base string, regions []string) {
	c.reference(field+".base", base, "base", declared.bases)
	for j, r := range regions {
		c.reference(indexed(field+".regions", j), r, "region", declared.regions)
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
		field := indexed("traffic", i)
		versions, ok := offered[t.Adapter]
		if !ok {
			c.addFault(field+".adapter", strconv.Quote(t.Adapter), "a declared adapter")
			continue
		}
		c.uniqueName(field+".adapter", t.Adapter, seen)
		c.shares(field, versions, t.Shares)
	}
}

func (c *checker) shares(field string, versions []string, docs []ShareDocument) {
	if len(docs) == 0 {
		c.addFault(field+".shares", "[]", "at least one share")
	}
	seen := set{}
	for i, s := range docs {
		shareField := indexed(field+".shares", i)
		if !slices.Contains(versions, s.Version) {
			c.addFault(shareField+".version", strconv.Quote(s.Version), "an offered version: "+strings.Join(versions, ", "))
		}
		c.uniqueName(shareField+".version", s.Version, seen)
		c.intRange(shareField+".weight", s.Weight, 1, maxShare)
	}
}
