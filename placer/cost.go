package placer

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dragonflyford/dragonflyford/bundler"
	"github.com/dragonflyford/dragonflyford/connector"
	"github.com/dragonflyford/dragonflyford/viewer"
)

// Terms of the cost estimate, in milliseconds.
const (
	// loadTime is the time to load an adapter while the weight store is not
	// contended.
	loadTime = 250
	// remainingLoadTime is the mean remaining time of a load in progress.
	remainingLoadTime = loadTime / 2
	// loadPenalty is the cost of a load to other requests that need the weight
	// store. It determines when a popular adapter is loaded on a second engine: at
	// 1500, the p99 time to first token under flash crowds doubled without fewer
	// loads.
	loadPenalty = 400
	// evictionPenalty is the cost of an eviction that is certain to cause another
	// load. At 400, the batch term outweighed it in the choice of the adapter to
	// evict, and loads rose by 9% on the heavier trace.
	evictionPenalty = 1500
	// pinnedPenalty is the wait for an adapter slot when all adapters in the engine
	// are in use.
	pinnedPenalty = 3000
	// batchSlotTime is the mean time that a job occupies a slot of the batch.
	batchSlotTime = 1500
	// fullBatchPenalty is the slowdown of a job in a full batch.
	fullBatchPenalty = 100
	// emptyBatchPenalty is the cost of the inefficiency of an empty batch.
	emptyBatchPenalty = 400
	// crossRegionTime is the round-trip time between regions.
	crossRegionTime = 40
	// agePenalty is the cost of each second by which the age of a view exceeds
	// maxFreshAge.
	agePenalty = 200
	// cachedBlockSaving is the prefill time saved by a cached block of the prompt.
	cachedBlockSaving = 3
	// affinityPenalty scales a term derived from the hashes of adapter and engine.
	// It makes nodes that have not yet received each other's loads choose the same
	// engine for an adapter.
	affinityPenalty = 50
	// saturatedCost is the cost above which an engine counts as having no free
	// capacity.
	saturatedCost = loadTime + loadPenalty + evictionPenalty + emptyBatchPenalty
)

// maxFreshAge is the age up to which a view has no age penalty. It covers the
// interval between two reports of a remote owner.
const maxFreshAge = time.Second

// maxBlocks is the number of leading prompt blocks that are looked up. It limits
// hashing to 1 KiB for a long prompt.
const maxBlocks = 16

// costInputs holds the inputs of the cost estimate that are the same for all
// engines.
type costInputs struct {
	stallWeight    float64 // normalised weight of load stalls
	batchWeight    float64 // normalised weight of batch efficiency
	remoteCost     float64 // cost of another region
	blocks         int
	prefixes       [maxBlocks]uint64
	previousEngine uint32 // short hash of the engine that got the same prefix before; see prefixHistory
}

func (p *Placer) costInputs(q *Query) costInputs {
	if _, ok := p.policy.(Weighted); !ok {
		return costInputs{}
	}
	in := costInputs{stallWeight: 0.5, batchWeight: 0.5}
	if sum := q.weights.LoadStall() + q.weights.BatchEfficiency(); sum > 0 {
		in.stallWeight = q.weights.LoadStall() / sum
		in.batchWeight = q.weights.BatchEfficiency() / sum
	}
	in.remoteCost = crossRegionTime + q.weights.CrossRegion()*float64(q.bytes)/1024
	in.hashPrefixes(q)
	for i := in.blocks - 1; i >= 0 && in.previousEngine == 0; i-- {
		in.previousEngine = p.history.find(in.prefixes[i])
	}
	return in
}

// hashPrefixes hashes the blocks of the prompt as engines do. Unlike
// connector.PrefixHashes, it does not allocate.
func (in *costInputs) hashPrefixes(q *Query) {
	in.blocks = min(len(q.prompt)/connector.PrefixBlockSize, maxBlocks)
	if in.blocks == 0 {
		return
	}
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(q.model.Adapter())
	_, _ = d.WriteString("@")
	_, _ = d.WriteString(q.model.Version())
	_, _ = d.WriteString("\x00")
	for i := range in.blocks {
		_, _ = d.WriteString(q.prompt[i*connector.PrefixBlockSize : (i+1)*connector.PrefixBlockSize])
		in.prefixes[i] = d.Sum64()
	}
}

// cached returns the number of leading prompt blocks in an engine's prefix cache.
func (in *costInputs) cached(v *viewer.View) int {
	n := 0
	for n < in.blocks && v.Prefixes().Has(in.prefixes[n]) {
		n++
	}
	return n
}

// weightedCost estimates the cost of running a query on an engine.
func (p *Placer) weightedCost(q *Query, in *costInputs, e *bundler.EngineEndpoint, v *viewer.View, now time.Time) float64 {
	cost := loadCost(q, in, v) + batchCost(in, v, p.recent.count(v))
	if e.Region() != p.region {
		cost += in.remoteCost
	}
	if age := now.Sub(v.ReceivedAt()); age > maxFreshAge {
		cost += agePenalty * (age - maxFreshAge).Seconds()
	}
	return cost
}

// loadCost returns the expected wait for the adapter, plus the cost of loading it
// to other requests. It is negative if a resident adapter has cached prefixes.
func loadCost(q *Query, in *costInputs, v *viewer.View) float64 {
	switch v.ResidencyOf(q.hash, q.model) {
	case viewer.Resident:
		return -prefixSaving(in, v)
	case viewer.Loading:
		return remainingLoadTime
	}
	affinity := affinityPenalty * float64(mix(q.hash^v.EngineHash())>>11) / (1 << 53)
	if v.LoadCapacity() == 0 {
		return loadTime + loadPenalty + pinnedPenalty + affinity
	}
	return loadTime + loadPenalty + evictionCost(v.EvictionCost()) + affinity
}

// reuseWindow is the time within which a request for an evicted adapter makes the
// eviction count as the cause of an avoidable load.
const reuseWindow = 60 // seconds

// evictionCost returns the expected cost of reloading an evicted adapter that gets
// rate requests per second. Most candidates for eviction get one request in many
// minutes, so the cost must distinguish small rates; large ones all lead to one
// more load.
func evictionCost(rate float64) float64 {
	return evictionPenalty * rate / (rate + 1.0/reuseWindow)
}

// prefixSaving returns the prefill time saved by an engine's prefix cache. If the
// engine has published none of the blocks, but was the last one that got the same
// prefix, all blocks count as cached.
func prefixSaving(in *costInputs, v *viewer.View) float64 {
	if in.blocks == 0 {
		return 0
	}
	blocks := in.cached(v)
	if blocks == 0 && in.previousEngine != 0 && in.previousEngine == shortHash(v) {
		blocks = in.blocks
	}
	return cachedBlockSaving * float64(blocks)
}

// batchCost returns the expected wait for a slot of the batch. While slots are
// free, it balances the speed of small batches against the efficiency of large
// ones.
func batchCost(in *costInputs, v *viewer.View, recent int) float64 {
	batch := float64(max(v.Batch(), 1))
	jobs := float64(v.Running() + v.Queued() + recent)
	if jobs >= batch {
		return fullBatchPenalty + batchSlotTime*(jobs-batch+1)/batch
	}
	fill := jobs / batch
	return in.stallWeight*fullBatchPenalty*fill + in.batchWeight*emptyBatchPenalty*(1-fill)
}
