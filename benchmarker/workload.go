package benchmarker

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/dragonflyford/dragonflyford/requester"
)

// Work is one request of a workload: GenerationWork, PostingWork or LookupWork.
type Work interface {
	// At returns when the request starts, counted from the start of the run.
	At() time.Duration
	work()
}

type scheduled struct{ at time.Duration }

func (s scheduled) At() time.Duration { return s.at }
func (scheduled) work()               {}

// GenerationWork asks an adapter for text.
type GenerationWork struct {
	scheduled
	request requester.Generation
}

// Request returns the request to send.
func (w GenerationWork) Request() requester.Generation { return w.request }

// PostingWork is a non-idempotent call.
type PostingWork struct {
	scheduled
	call requester.Call
}

// Call returns the call to send.
func (w PostingWork) Call() requester.Call { return w.call }

// LookupWork is an idempotent call.
type LookupWork struct {
	scheduled
	call requester.Call
}

// Call returns the call to send.
func (w LookupWork) Call() requester.Call { return w.call }

// generator draws work from a seed.
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
func (g *generator) next() (Work, bool) {
	g.at += time.Duration(g.rng.ExpFloat64() / g.doc.Rate * float64(time.Second))
	if g.at >= g.doc.duration() {
		return nil, false
	}
	g.n++
	s := scheduled{at: g.at}
	x := g.rng.Float64() * (g.doc.Mix.Generation + g.doc.Mix.Posting + g.doc.Mix.Lookup)
	switch {
	case x < g.doc.Mix.Generation:
		return GenerationWork{scheduled: s, request: g.generation()}, true
	case x < g.doc.Mix.Generation+g.doc.Mix.Posting:
		return PostingWork{scheduled: s, call: g.posting()}, true
	default:
		return LookupWork{scheduled: s, call: g.lookup()}, true
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

// lookupSubjects is how many accounts or items lookups ask for.
const lookupSubjects = 1000
