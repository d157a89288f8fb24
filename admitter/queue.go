package admitter

import (
	"container/heap"
	"container/list"
	"time"
)

// priorityStep is by how much one step of priority moves the effective arrival of a
// request forward. A request is overtaken only by requests of higher priority that
// arrive within the steps between them, so that low priorities do not starve.
const priorityStep = time.Second

// waiter is a request that waits for a slot.
type waiter struct {
	caller           string
	effectiveArrival time.Time
	sequence         uint64 // breaks ties between equal arrivals
	index            int    // index in the caller's heap, or notQueued
	granted          chan struct{}
}

const notQueued = -1

func newWaiter(caller string, priority int, now time.Time) *waiter {
	return &waiter{
		caller:           caller,
		effectiveArrival: now.Add(-time.Duration(priority) * priorityStep),
		index:            notQueued,
		granted:          make(chan struct{}),
	}
}

// waiterHeap is a heap of one caller's requests, earliest effective arrival first.
type waiterHeap []*waiter

func (h waiterHeap) Len() int { return len(h) }

func (h waiterHeap) Less(i, j int) bool {
	if h[i].effectiveArrival.Equal(h[j].effectiveArrival) {
		return h[i].sequence < h[j].sequence
	}
	return h[i].effectiveArrival.Before(h[j].effectiveArrival)
}

func (h waiterHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *waiterHeap) Push(x any) {
	w := x.(*waiter)
	w.index = len(*h)
	*h = append(*h, w)
}

// Pop implements heap.Interface.
func (h *waiterHeap) Pop() any {
	last := len(*h) - 1
	w := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	w.index = notQueued
	return w
}

// callerQueue holds the waiting requests of one caller.
type callerQueue struct {
	waiters  waiterHeap
	position *list.Element
}

// queue serves the callers in round-robin order, one request each. Operations take
// time logarithmic in the number of requests of one caller.
type queue struct {
	capacity int
	waiting  int
	pushed   uint64
	callers  map[string]*callerQueue
	rotation *list.List // names of waiting callers, next one first
}

func newQueue(capacity int) queue {
	return queue{capacity: capacity, callers: make(map[string]*callerQueue), rotation: list.New()}
}

// hasRoom reports whether a caller may add a request: it may hold at most as many
// queue slots as are free. A single caller thus gets half of the queue, and there is
// always a slot for a caller that has none.
func (q *queue) hasRoom(caller string) bool {
	held := 0
	if cq, ok := q.callers[caller]; ok {
		held = len(cq.waiters)
	}
	return held < q.capacity-q.waiting
}

// ahead returns an upper bound of the number of waiting requests that get a slot
// before w.
func (q *queue) ahead(w *waiter) int {
	rounds := 0
	if cq, ok := q.callers[w.caller]; ok && !w.effectiveArrival.Before(cq.waiters[0].effectiveArrival) {
		rounds = len(cq.waiters)
	}
	return min(q.waiting, (rounds+1)*len(q.callers))
}

func (q *queue) push(w *waiter) {
	cq, ok := q.callers[w.caller]
	if !ok {
		cq = &callerQueue{position: q.rotation.PushBack(w.caller)}
		q.callers[w.caller] = cq
	}
	q.pushed++
	w.sequence = q.pushed
	heap.Push(&cq.waiters, w)
	q.waiting++
}

// pop removes the next request in round-robin order. The queue must not be empty.
func (q *queue) pop() *waiter {
	caller := q.rotation.Front().Value.(string)
	cq := q.callers[caller]
	w := heap.Pop(&cq.waiters).(*waiter)
	q.rotation.MoveToBack(cq.position)
	q.dropIfEmpty(caller, cq)
	return w
}

// remove removes a waiter from the queue. It returns false if the waiter was popped
// before.
func (q *queue) remove(w *waiter) bool {
	if w.index == notQueued {
		return false
	}
	cq := q.callers[w.caller]
	heap.Remove(&cq.waiters, w.index)
	q.dropIfEmpty(w.caller, cq)
	return true
}

// dropIfEmpty decrements the number of waiting requests and deletes the queue of a
// caller that has none left.
func (q *queue) dropIfEmpty(caller string, cq *callerQueue) {
	q.waiting--
	if len(cq.waiters) > 0 {
		return
	}
	q.rotation.Remove(cq.position)
	delete(q.callers, caller)
}
