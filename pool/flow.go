package pool

import (
	"container/heap"
	"time"

	"mulberrydyke/plan"
)

// laneID identifies a lane. Each lane queues requests with the same placement
// constraint, so that a request that no upstream can take yet doesn't block
// requests without that constraint.
type laneID int

const (
	// ordinaryLane holds requests that need only a free slot.
	ordinaryLane laneID = iota
	// hugePromptLane holds requests with a huge prompt, which need an upstream
	// that is not in the prefill of another huge prompt.
	hugePromptLane
	// restrictedLane holds requests that may not run on every upstream: their
	// content was running on an upstream that crashed, or has never finished and
	// is running now.
	restrictedLane
	laneCount
)

// latePickInterval is the interval, in picks of a flow, at which the flow's oldest
// late request goes first, so that late requests are not starved.
const latePickInterval = 8

// item is one queued request.
type item struct {
	req  Request
	lane laneID
	work Work
	// huge is set if the prompt is longer than hugePromptTokens.
	huge bool
	// suspect is set if the content was running on an upstream that crashed.
	suspect bool
	// deadline is the time by which the request must be granted for its first
	// token to meet the target.
	deadline time.Time
	// serial orders items by arrival at the scheduler.
	serial uint64
	// floorSlotSince is when the item moved to its tier's floor slot. It is zero
	// for items in the queue.
	floorSlotSince time.Time

	flow *flow
	// inHeap is the heap that holds the item, or nil, and heapIndex is the
	// item's index in it.
	inHeap    *itemHeap
	heapIndex int
	// newer and older link the items of a flow in order of arrival.
	newer, older *item
}

// itemHeap is a heap of items, ordered by deadline or by arrival.
type itemHeap struct {
	items     []*item
	byArrival bool
}

// Len implements heap.Interface.
func (h *itemHeap) Len() int { return len(h.items) }

// Less implements heap.Interface.
func (h *itemHeap) Less(i, j int) bool {
	a, b := h.items[i], h.items[j]
	if h.byArrival || a.deadline.Equal(b.deadline) {
		return a.serial < b.serial
	}
	return a.deadline.Before(b.deadline)
}

// Swap implements heap.Interface.
func (h *itemHeap) Swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	h.items[i].heapIndex, h.items[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (h *itemHeap) Push(x any) {
	it := x.(*item)
	it.inHeap, it.heapIndex = h, len(h.items)
	h.items = append(h.items, it)
}

// Pop implements heap.Interface.
func (h *itemHeap) Pop() any {
	last := len(h.items) - 1
	it := h.items[last]
	h.items[last] = nil
	h.items = h.items[:last]
	it.inHeap = nil
	return it
}

// flow is the queue of one account within one tier.
type flow struct {
	account plan.AccountID
	share   float64
	// virtualTime is the work granted to the account divided by its share. It
	// never decreases.
	virtualTime float64
	queuedWork  Work
	count       int
	pickCount   int
	// newest is the last item of the list of queued items by arrival.
	newest *item
	lanes  [laneCount]flowLane
	// heapIndex is the flow's index in each lane's heap, or -1 if the flow has
	// no item in the lane.
	heapIndex [laneCount]int
}

// flowLane holds the items of one lane of a flow.
type flowLane struct {
	// due holds items that can still meet their deadline, and late holds the
	// others.
	due, late itemHeap
}

func (l *flowLane) empty() bool { return len(l.due.items) == 0 && len(l.late.items) == 0 }

// head returns the next item of the lane, or nil. It first moves items whose
// deadline has passed behind those that can still meet theirs.
func (f *flow) head(now time.Time, id laneID) *item {
	l := &f.lanes[id]
	for len(l.due.items) > 0 && l.due.items[0].deadline.Before(now) {
		it := heap.Pop(&l.due).(*item)
		heap.Push(&l.late, it)
	}
	lateFirst := f.pickCount%latePickInterval == latePickInterval-1
	if len(l.late.items) > 0 && (lateFirst || len(l.due.items) == 0) {
		return l.late.items[0]
	}
	if len(l.due.items) > 0 {
		return l.due.items[0]
	}
	return nil
}

// oldestLate returns an item that can no longer meet its deadline, or nil. It is
// the oldest one of the first lane that has any.
func (f *flow) oldestLate() *item {
	for i := range f.lanes {
		if late := f.lanes[i].late.items; len(late) > 0 {
			return late[0]
		}
	}
	return nil
}

// link appends an item to the list of items by arrival.
func (f *flow) link(it *item) {
	it.older = f.newest
	if f.newest != nil {
		f.newest.newer = it
	}
	f.newest = it
}

// unlink removes an item from the list of items by arrival.
func (f *flow) unlink(it *item) {
	if it.newer != nil {
		it.newer.older = it.older
	} else {
		f.newest = it.older
	}
	if it.older != nil {
		it.older.newer = it.newer
	}
	it.newer, it.older = nil, nil
}

// flowHeap is a heap of the flows that have items in one lane, ordered by
// virtual time.
type flowHeap struct {
	lane  laneID
	flows []*flow
}

// Len implements heap.Interface.
func (h *flowHeap) Len() int { return len(h.flows) }

// Less implements heap.Interface.
func (h *flowHeap) Less(i, j int) bool {
	a, b := h.flows[i], h.flows[j]
	if a.virtualTime == b.virtualTime {
		return a.account < b.account
	}
	return a.virtualTime < b.virtualTime
}

// Swap implements heap.Interface.
func (h *flowHeap) Swap(i, j int) {
	h.flows[i], h.flows[j] = h.flows[j], h.flows[i]
	h.flows[i].heapIndex[h.lane], h.flows[j].heapIndex[h.lane] = i, j
}

// Push implements heap.Interface.
func (h *flowHeap) Push(x any) {
	f := x.(*flow)
	f.heapIndex[h.lane] = len(h.flows)
	h.flows = append(h.flows, f)
}

// Pop implements heap.Interface.
func (h *flowHeap) Pop() any {
	last := len(h.flows) - 1
	f := h.flows[last]
	h.flows[last] = nil
	h.flows = h.flows[:last]
	f.heapIndex[h.lane] = -1
	return f
}
