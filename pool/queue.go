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

// tierQueue holds the waiting requests of one tier. Accounts share the tier by
// weighted fair queueing on virtual time; within an account the earliest
// deadline goes first.
type tierQueue struct {
	tier  plan.Tier
	lanes [laneCount]flowHeap
	flows map[plan.AccountID]*flow
	// virtualTime is the virtual time of the last pick. A flow that becomes
	// active starts no earlier, so that an idle account saves up no credit.
	virtualTime float64
	// queuedWork and count do not include the request in the floor slot.
	queuedWork Work
	count      int
	// floorSlot holds the one request that the tier's floor serves, or nil. It is
	// not part of the queue: it can't be shed and doesn't count towards the queue
	// limit.
	floorSlot *item
	// floorCredit is the work that the floor has earned since its slot was
	// filled.
	floorCredit Work
	// lastRequest is when the tier's last request arrived.
	lastRequest time.Time
	// targetEstimate follows the tier's first-token targets: it rises at once to
	// a longer target and falls as a moving average.
	targetEstimate time.Duration
	// extraReserve is the additional fraction of each upstream's limit that the
	// tier leaves free because higher tiers had to wait. It lies between 0 and
	// maxExtraReserve.
	extraReserve float64
	// grantedWork is the work granted since the last tick, and workRate the
	// moving average of the work granted per second.
	grantedWork Work
	workRate    float64
}

// newTierQueue returns an empty queue.
func newTierQueue(tier plan.Tier) *tierQueue {
	q := &tierQueue{tier: tier, flows: map[plan.AccountID]*flow{}}
	for i := range q.lanes {
		q.lanes[i].lane = laneID(i)
	}
	return q
}

// flowFor returns the flow of the request's account and sets its share. It
// creates the flow if necessary.
func (q *tierQueue) flowFor(req *Request) *flow {
	f := q.flows[req.Account]
	if f == nil {
		f = &flow{account: req.Account}
		for i := range f.heapIndex {
			f.heapIndex[i] = -1
			f.lanes[i].late.byArrival = true
		}
		q.flows[req.Account] = f
	}
	f.share = req.Share
	return f
}

// add appends an item to the flow of its account.
func (q *tierQueue) add(it *item) {
	f := q.flowFor(&it.req)
	if f.count == 0 {
		f.virtualTime = max(f.virtualTime, q.virtualTime)
	}
	it.flow = f
	f.link(it)
	f.count++
	f.queuedWork += it.work
	q.count++
	q.queuedWork += it.work
	l := &f.lanes[it.lane]
	heap.Push(&l.due, it)
	if f.heapIndex[it.lane] < 0 {
		heap.Push(&q.lanes[it.lane], f)
	}
}

// remove removes an item from the flow of its account.
func (q *tierQueue) remove(it *item) {
	f := it.flow
	heap.Remove(it.inHeap, it.heapIndex)
	f.unlink(it)
	f.count--
	f.queuedWork -= it.work
	q.count--
	q.queuedWork -= it.work
	if f.lanes[it.lane].empty() {
		heap.Remove(&q.lanes[it.lane], f.heapIndex[it.lane])
	}
}

// nextInLane returns the next item of a lane, or nil.
func (q *tierQueue) nextInLane(now time.Time, id laneID) *item {
	if len(q.lanes[id].flows) == 0 {
		return nil
	}
	return q.lanes[id].flows[0].head(now, id)
}

// nextAnyLane returns the next item of the lane whose first flow has the lowest
// virtual time, or nil.
func (q *tierQueue) nextAnyLane(now time.Time) *item {
	var best *flow
	var lane laneID
	for id := range laneCount {
		if len(q.lanes[id].flows) == 0 {
			continue
		}
		if f := q.lanes[id].flows[0]; best == nil || f.virtualTime < best.virtualTime {
			best, lane = f, id
		}
	}
	if best == nil {
		return nil
	}
	return best.head(now, lane)
}

// charge adds the work of a granted item to the virtual time of its account.
func (q *tierQueue) charge(it *item) {
	f := it.flow
	q.virtualTime = max(q.virtualTime, f.virtualTime)
	f.virtualTime += float64(it.work) / f.share
	f.pickCount++
	for id := range laneCount {
		if f.heapIndex[id] >= 0 {
			heap.Fix(&q.lanes[id], f.heapIndex[id])
		}
	}
}

// shedCandidate returns the item to shed first. The queue must not be empty. An
// item that is already late is preferred, since its answer would be late in any
// case; otherwise it is the newest item of the account that is furthest above its
// share, including its queued work.
func (q *tierQueue) shedCandidate() *item {
	var furthest, furthestLate *flow
	var furthestTime, furthestLateTime float64
	for id := range q.lanes {
		for _, f := range q.lanes[id].flows {
			virtualEnd := f.virtualTime + float64(f.queuedWork)/f.share
			if furthest == nil || virtualEnd > furthestTime || (virtualEnd == furthestTime && f.account < furthest.account) {
				furthest, furthestTime = f, virtualEnd
			}
			if f.oldestLate() != nil && (furthestLate == nil || virtualEnd > furthestLateTime || (virtualEnd == furthestLateTime && f.account < furthestLate.account)) {
				furthestLate, furthestLateTime = f, virtualEnd
			}
		}
	}
	if furthestLate != nil {
		return furthestLate.oldestLate()
	}
	return furthest.newest
}

// workRateWindow is the time over which the work rate of a tier is averaged.
const workRateWindow = 3 * time.Second

// updateWorkRate updates the work rate from the work granted in the elapsed time,
// which runs from the last update.
func (q *tierQueue) updateWorkRate(elapsed time.Duration) {
	weight := min(1, elapsed.Seconds()/workRateWindow.Seconds())
	rate := float64(q.grantedWork) / elapsed.Seconds()
	q.workRate += weight * (rate - q.workRate)
	q.grantedWork = 0
}

// recordTarget records that a request arrived now, and updates the target estimate
// with its first-token target.
func (q *tierQueue) recordTarget(now time.Time, target time.Duration) {
	q.lastRequest = now
	if target > q.targetEstimate {
		q.targetEstimate = target
		return
	}
	q.targetEstimate += time.Duration(ewmaWeight * float64(target-q.targetEstimate))
}

const (
	// queueWaitFraction is the fraction of the first-token target that a request
	// may wait in the queue; the engine needs the rest.
	queueWaitFraction = 0.8
	// farBehindFactor is the multiple of the first-token target above which the
	// expected wait means that a tier is far behind.
	farBehindFactor = 1.2
	// minShedWait is the expected wait up to which no request is shed for being
	// late, because a caller that is refused and retries would wait longer.
	minShedWait = 2 * time.Second
)

// wouldBeLate reports whether a request at the end of the queue would wait longer
// than minShedWait and longer than targetFactor times the tier's target estimate.
// It assumes that the tier is served at its measured work rate or at minRate,
// whichever is higher. It returns false if fewer than two requests are queued.
func (q *tierQueue) wouldBeLate(minRate, targetFactor float64) bool {
	if q.count < 2 {
		return false
	}
	wait := time.Duration(float64(q.queuedWork) / max(q.workRate, minRate) * float64(time.Second))
	return float64(wait) > targetFactor*float64(q.targetEstimate) && wait > minShedWait
}

// prune deletes the flows of accounts that have nothing waiting and whose virtual
// time is not ahead of the tier's.
func (q *tierQueue) prune() {
	for id, f := range q.flows {
		if f.count == 0 && f.virtualTime <= q.virtualTime && (q.floorSlot == nil || q.floorSlot.flow != f) {
			delete(q.flows, id)
		}
	}
}
