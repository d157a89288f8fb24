package meter_test

import (
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/dragonflyford/dragonflyford/meter"
)

// Guards against label values that come from input: a thousand adapters must add
// one time series, not a thousand.
func TestBoundedCardinality(t *testing.T) {
	is := is.New(t)
	m := meter.New("node-1", "lj", "lj1", func(err error) { t.Error(err) })
	c := meter.NewCounters(m.Scope(), "requests", "outcome", "done", "unknown")
	c.Inc("done")
	c.Add("unknown", 2)
	for i := range 1000 {
		c.Inc(fmt.Sprint("adapter-", i))
	}
	is.NoErr(m.Close())
	w := httptest.NewRecorder()
	m.Handler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	body := w.Body.String()
	is.Equal(strings.Count(body, "\ndragonflyford_requests{"), 3)
	is.True(strings.Contains(body, `dragonflyford_requests{data_centre="lj1",node="node-1",outcome="other",region="lj"} 1000`))
	is.True(strings.Contains(body, `outcome="unknown",region="lj"} 2`))
}
