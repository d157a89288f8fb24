package benchmarker

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"regexp"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// Document is the settings document of a workload.
type Document struct {
	// Entries are the initial addresses of entry hosts, as host:port.
	Entries []string `json:"entries"`
	// Seed fixes the requests and their start times.
	Seed uint64 `json:"seed"`
	// DurationS is the time during which requests start, in seconds.
	DurationS float64 `json:"duration_s"`
	// Rate is the mean number of requests per second.
	Rate float64 `json:"rate"`
	// Mix gives the share of each kind of request; only proportions count.
	Mix MixDocument `json:"mix"`
	// Adapters describes the requested adapters.
	Adapters AdaptersDocument `json:"adapters"`
	// PromptBytes is the length of prompts.
	PromptBytes int `json:"prompt_bytes"`
	// MaxTokens is the largest length of an answer.
	MaxTokens int `json:"max_tokens"`
	// TimeoutMS is how long a caller waits, in milliseconds.
	TimeoutMS int `json:"timeout_ms"`
	// Service, PostingPath and LookupPath name the calls; LookupPath holds one
	// %d for the account or item.
	Service     string `json:"service"`
	PostingPath string `json:"posting_path"`
	LookupPath  string `json:"lookup_path"`
	// Callers is the number of callers that share the load.
	Callers int `json:"callers"`
}

// MixDocument gives the proportions of requests.
type MixDocument struct {
	Generation float64 `json:"generation"`
	Posting    float64 `json:"posting"`
	Lookup     float64 `json:"lookup"`
}

// AdaptersDocument describes the adapters under load.
type AdaptersDocument struct {
	// Format holds one %d verb for the adapter's number, from 0.
	Format string `json:"format"`
	Count  int    `json:"count"`
	// Skew is the exponent of the Zipf distribution, above 1.
	Skew     float64  `json:"skew"`
	Versions []string `json:"versions"`
}

func (d *Document) duration() time.Duration {
	return time.Duration(d.DurationS * float64(time.Second))
}

func (d *Document) timeout() time.Duration {
	return time.Duration(d.TimeoutMS) * time.Millisecond
}

// Parse decodes and validates a workload and fills in defaults. Unknown fields
// are errors.
func Parse(data []byte) (*Document, error) {
	d := &Document{
		Seed:        1,
		DurationS:   20,
		Rate:        20,
		Mix:         MixDocument{Generation: 0.7, Posting: 0.15, Lookup: 0.15},
		Adapters:    AdaptersDocument{Format: "adapter-%05d", Count: 3000, Skew: 1.1, Versions: []string{"v1"}},
		PromptBytes: 200,
		MaxTokens:   16,
		TimeoutMS:   15_000,
		Service:     "ledger",
		PostingPath: "/postings",
		LookupPath:  "/balances/%d",
		Callers:     8,
	}
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(d); err != nil {
		return nil, fmt.Errorf("decode workload: %w", err)
	}
	if err := checkEnd(dec); err != nil {
		return nil, fmt.Errorf("decode workload: %w", err)
	}
	if err := d.Check(); err != nil {
		return nil, err
	}
	return d, nil
}

var errTrailing = eris.New("text after the JSON object")

// checkEnd returns errTrailing if text follows the JSON object.
func checkEnd(dec *json.Decoder) error {
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return errTrailing
	}
	return nil
}

// numberVerb matches a formatting verb for an integer, anyVerb any verb.
var (
	numberVerb = regexp.MustCompile(`%(0?[0-9]{1,2})?d`)
	anyVerb    = regexp.MustCompile(`%`)
)

// hasOneNumberVerb reports whether a format has exactly one verb, and that one
// for an integer.
func hasOneNumberVerb(format string) bool {
	return len(numberVerb.FindAllString(format, -1)) == 1 && len(anyVerb.FindAllString(format, -1)) == 1
}

// validAddresses reports whether a list is not empty and holds only host:port
// addresses.
func validAddresses(list []string) bool {
	for _, a := range list {
		if host, port, err := net.SplitHostPort(a); err != nil || host == "" || port == "" {
			return false
		}
	}
	return len(list) > 0
}

// Check validates all settings and joins the errors.
func (d *Document) Check() error {
	var errs []error
	require := func(holds bool, name string, value any, allowed string) {
		if !holds {
			errs = append(errs, fmt.Errorf("%s is %v; allowed is %s", name, value, allowed))
		}
	}
	require(validAddresses(d.Entries), "entries", d.Entries, "at least one address, each as host:port")
	require(d.DurationS > 0 && d.DurationS <= maxDurationS, "duration_s", d.DurationS, "above 0 and up to 86400")
	require(d.Rate > 0 && d.Rate <= maxRate, "rate", d.Rate, "above 0 and up to 100000")
	require(d.Mix.Generation >= 0 && d.Mix.Posting >= 0 && d.Mix.Lookup >= 0, "mix", d.Mix, "no negative share")
	require(d.Mix.Generation+d.Mix.Posting+d.Mix.Lookup > 0, "mix", d.Mix, "at least one share above 0")
	require(hasOneNumberVerb(d.Adapters.Format), "adapters.format", d.Adapters.Format, "one verb such as %05d")
	require(d.Adapters.Count >= 2, "adapters.count", d.Adapters.Count, "2 or more")
	require(d.Adapters.Skew > 1, "adapters.skew", d.Adapters.Skew, "above 1")
	require(d.MaxTokens >= 1, "max_tokens", d.MaxTokens, "1 or more")
	require(d.TimeoutMS >= 1, "timeout_ms", d.TimeoutMS, "1 or more")
	require(hasOneNumberVerb(d.LookupPath) && strings.HasPrefix(d.LookupPath, "/"), "lookup_path", d.LookupPath, "a path with one %d")
	require(strings.HasPrefix(d.PostingPath, "/"), "posting_path", d.PostingPath, "a path")
	require(d.PromptBytes >= 0, "prompt_bytes", d.PromptBytes, "0 or more")
	require(d.Callers >= 1, "callers", d.Callers, "1 or more")
	return errors.Join(errs...)
}

const (
	maxDurationS = 86_400  // one day
	maxRate      = 100_000 // requests per second
)
