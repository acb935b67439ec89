package pool

import (
	"container/heap"
	"time"

	"mulberrydyke/plan"
)

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
