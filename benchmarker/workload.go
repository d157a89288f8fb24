package benchmarker

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/dragonflyford/dragonflyford/requester"
)

// Request is one request of a workload: GenerationRequest, PostingRequest or
// LookupRequest.
type Request interface {
	// At returns the start time of the request, relative to the start of the
	// run.
	At() time.Duration
	scheduledRequest()
}

type scheduled struct{ at time.Duration }

func (s scheduled) At() time.Duration { return s.at }
func (scheduled) scheduledRequest()   {}

// GenerationRequest requests text from an adapter.
type GenerationRequest struct {
	scheduled
	generation requester.Generation
}

// Generation returns the request to send.
func (r GenerationRequest) Generation() requester.Generation { return r.generation }

// PostingRequest is a non-idempotent call.
type PostingRequest struct {
	scheduled
	call requester.Call
}

// Call returns the call to send.
func (r PostingRequest) Call() requester.Call { return r.call }

// LookupRequest is an idempotent call.
type LookupRequest struct {
	scheduled
	call requester.Call
}

// Call returns the call to send.
func (r LookupRequest) Call() requester.Call { return r.call }

// generator generates requests from a seed.
type generator struct {
	doc  *Document
	rng  *rand.Rand
	zipf *rand.Zipf
	at   time.Duration
	n    int
}

func newGenerator(doc *Document) *generator {
	rng := rand.New(rand.NewPCG(doc.Seed, doc.Seed^0x9e3779b97f4a7c15))
	return &generator{
		doc:  doc,
		rng:  rng,
		zipf: rand.NewZipf(rng, doc.Adapters.Skew, 1, uint64(doc.Adapters.Count-1)),
	}
}

// next returns the next request, and false after the end of the run. Arrivals
// are a Poisson process.
func (g *generator) next() (Request, bool) {
	g.at += time.Duration(g.rng.ExpFloat64() / g.doc.Rate * float64(time.Second))
	if g.at >= g.doc.duration() {
		return nil, false
	}
	g.n++
	s := scheduled{at: g.at}
	x := g.rng.Float64() * (g.doc.Mix.Generation + g.doc.Mix.Posting + g.doc.Mix.Lookup)
	switch {
	case x < g.doc.Mix.Generation:
		return GenerationRequest{scheduled: s, generation: g.generation()}, true
	case x < g.doc.Mix.Generation+g.doc.Mix.Posting:
		return PostingRequest{scheduled: s, call: g.posting()}, true
	default:
		return LookupRequest{scheduled: s, call: g.lookup()}, true
	}
}

func (g *generator) generation() requester.Generation {
	a := g.doc.Adapters
	model := fmt.Sprintf(a.Format, g.zipf.Uint64())
	if len(a.Versions) > 0 {
		model += "@" + a.Versions[g.rng.IntN(len(a.Versions))]
	}
	prompt := fmt.Sprintf("document %d-%d ", g.doc.Seed, g.n)
	if pad := g.doc.PromptBytes - len(prompt); pad > 0 {
		prompt = strings.Repeat("x", pad) + prompt
	}
	id := fmt.Sprintf("load-%d-%d", g.doc.Seed, g.n)
	return requester.NewGeneration(model, prompt, 1+g.rng.IntN(g.doc.MaxTokens), id, 0)
}

func (g *generator) posting() requester.Call {
	key := fmt.Sprintf("posting-%d-%d", g.doc.Seed, g.n)
	body := fmt.Sprintf(`{"id":%q,"amount":%d}`, key, 1+g.rng.IntN(10_000))
	return requester.NewCall(g.doc.Service, http.MethodPost, g.doc.PostingPath, key, []byte(body))
}

func (g *generator) lookup() requester.Call {
	path := fmt.Sprintf(g.doc.LookupPath, g.rng.IntN(lookupSubjects))
	return requester.NewCall(g.doc.Service, http.MethodGet, path, "", nil)
}

// lookupSubjects is the number of accounts or items that lookups read.
const lookupSubjects = 1000
