package placer

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dragonflyford/dragonflyford/bundler"
	"github.com/dragonflyford/dragonflyford/connector"
	"github.com/dragonflyford/dragonflyford/viewer"
)

// Costs in milliseconds.
const (
	// loadTime is how long a load takes while the weight store is not crowded.
	loadTime = 250
	// loadingTime is what is left of a load on average.
	loadingTime = loadTime / 2
	// loadPrice is what a load costs the requests that need the weight store
	// next. It decides when a popular adapter gets a second copy: at 1500, p99 to
	// the first token in flash crowds was twice as long for no fewer loads.
	loadPrice = 400
	// evictionPrice is the cost of an eviction that is sure to cause another load.
	// At 400, the batch decided which adapter to evict, and loads rose by 9% on
	// the heavier trace.
	evictionPrice = 1500
	// pinnedPrice is the wait for a slot when each adapter in the engine is in
	// use.
	pinnedPrice = 3000
	// jobTime is the mean time that a place in the batch is taken.
	jobTime = 1500
	// spreadPrice is what a full batch costs its jobs in speed.
	spreadPrice = 100
	// packPrice is what an empty batch costs in efficiency.
	packPrice = 400
	// crossRegionTime is one round trip between regions.
	crossRegionTime = 40
	// agePrice is the cost of each second that a view is older than freshFor.
	agePrice = 200
	// blockTime is what a cached block of the prompt saves.
	blockTime = 3
	// homePrice makes nodes that do not know of each other's loads choose the
	// same engine for an adapter.
	homePrice = 50
	// saturated is the cost above which an engine has no place left.
	saturated = loadTime + loadPrice + evictionPrice + packPrice
)

// freshFor covers the interval between two reports of a remote owner.
const freshFor = time.Second

// maxBlocks bounds the part of a prompt that is looked up, so that a long prompt
// costs no more than 1 KiB of hashing.
const maxBlocks = 16

// weighing is what all engines share in the decision on one query.
type weighing struct {
	stall    float64 // share of the weight on load stalls
	batch    float64 // share of the weight on batch efficiency
	remote   float64 // cost of another region
	blocks   int
	prefixes [maxBlocks]uint64
	went     uint32 // where the same prefix went before; see history
}

func (p *Placer) prepare(q *Query) weighing {
	if _, ok := p.policy.(Weighted); !ok {
		return weighing{}
	}
	w := weighing{stall: 0.5, batch: 0.5}
	if sum := q.weights.LoadStall() + q.weights.BatchEfficiency(); sum > 0 {
		w.stall = q.weights.LoadStall() / sum
		w.batch = q.weights.BatchEfficiency() / sum
	}
	w.remote = crossRegionTime + q.weights.CrossRegion()*float64(q.bytes)/1024
	w.hashPrefixes(q)
	for i := w.blocks - 1; i >= 0 && w.went == 0; i-- {
		w.went = p.history.find(w.prefixes[i])
	}
	return w
}

// hashPrefixes hashes the blocks of the prompt as engines do. It works on the
// stack, which connector.Prefixes cannot.
func (w *weighing) hashPrefixes(q *Query) {
	w.blocks = min(len(q.prompt)/connector.PrefixBlock, maxBlocks)
	if w.blocks == 0 {
		return
	}
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(q.model.Adapter())
	_, _ = d.WriteString("@")
	_, _ = d.WriteString(q.model.Version())
	_, _ = d.WriteString("\x00")
	for i := range w.blocks {
		_, _ = d.WriteString(q.prompt[i*connector.PrefixBlock : (i+1)*connector.PrefixBlock])
		w.prefixes[i] = d.Sum64()
	}
}

// cached returns how many leading blocks an engine has cached.
func (w *weighing) cached(v *viewer.View) int {
	n := 0
	for n < w.blocks && v.Prefixes().Has(w.prefixes[n]) {
		n++
	}
	return n
}

// weigh estimates what a query costs on an engine.
func (p *Placer) weigh(q *Query, w *weighing, e *bundler.EngineEndpoint, v *viewer.View, now time.Time) float64 {
	cost := loadCost(q, w, v) + batchCost(w, v, p.recent.count(v))
	if e.Region() != p.region {
		cost += w.remote
	}
	if age := now.Sub(v.ReceivedAt()); age > freshFor {
		cost += agePrice * (age - freshFor).Seconds()
	}
	return cost
}

// loadCost is the expected wait for the adapter, and what its load takes from
// others.
func loadCost(q *Query, w *weighing, v *viewer.View) float64 {
	switch v.ResidencyOf(q.hash, q.model) {
	case viewer.Resident:
		return -prefixGain(w, v)
	case viewer.Loading:
		return loadingTime
	}
	home := homePrice * float64(mix(q.hash^v.EngineHash())>>11) / (1 << 53)
	if v.LoadCapacity() == 0 {
		return loadTime + loadPrice + pinnedPrice + home
	}
	return loadTime + loadPrice + evictionCost(v.EvictionCost()) + home
}

// reuseWithin is the time in which an evicted adapter must be asked for again to
// count as a load that could have been spared.
const reuseWithin = 60 // seconds

// evictionCost is the price of the load that an eviction makes likely. Most
// candidates for eviction get a request in many minutes, so that the cost must
// tell small rates apart; large ones all mean one more load.
func evictionCost(rate float64) float64 {
	return evictionPrice * rate / (rate + 1.0/reuseWithin)
}

func prefixGain(w *weighing, v *viewer.View) float64 {
	if w.blocks == 0 {
		return 0
	}
	blocks := w.cached(v)
	if blocks == 0 && w.went != 0 && w.went == fold(v) {
		blocks = w.blocks
	}
	return blockTime * float64(blocks)
}

// batchCost is the wait for a place in the batch. While places are free, it
// weighs the speed of small batches against the efficiency of full ones.
func batchCost(w *weighing, v *viewer.View, recent int) float64 {
	batch := float64(max(v.Batch(), 1))
	jobs := float64(v.Running() + v.Queued() + recent)
	if jobs >= batch {
		return spreadPrice + jobTime*(jobs-batch+1)/batch
	}
	fill := jobs / batch
	return w.stall*spreadPrice*fill + w.batch*packPrice*(1-fill)
}
