package pool

import (
	"container/heap"
	"time"

	"mulberrydyke/plan"
)

// laneID tells apart requests that need different kinds of place, so that one
// that can't be placed yet doesn't hold up the others.
type laneID int

const (
	// ordinary requests need a free slot.
	ordinary laneID = iota
	// bulky requests have a huge prompt and need an upstream that is reading
	// no other huge prompt.
	bulky
	// restricted requests may not run on every upstream: they were running on
	// one that crashed, or have a content that never finished and runs now.
	restricted
	laneCount
)

// lateTurn is the number of picks of a flow among which one goes to its oldest
// late request, so that late requests are served in the end.
const lateTurn = 8

// item is one queued request.
type item struct {
	ask  Request
	lane laneID
	work Work
	// huge says that the prompt is above bulkyPrompt.
	huge bool
	// suspect says that the content has a crash to its name.
	suspect bool
	// deadline is when the request must be granted, so that its first token
	// comes in time.
	deadline time.Time
	// serial orders items by arrival at the scheduler.
	serial uint64
	// heldSince is when the item took its tier's floor slot. Zero means not yet.
	heldSince time.Time

	flow *flow
	// in is the heap that holds the item, or nil. pos is its index there.
	in  *itemHeap
	pos int
	// newer and older link the items of a flow by arrival.
	newer, older *item
}

// itemHeap is a heap of items by deadline or by arrival.
type itemHeap struct {
	items     []*item
	byArrival bool
}

func (h *itemHeap) Len() int { return len(h.items) }

func (h *itemHeap) Less(i, j int) bool {
	a, b := h.items[i], h.items[j]
	if h.byArrival || a.deadline.Equal(b.deadline) {
		return a.serial < b.serial
	}
	return a.deadline.Before(b.deadline)
}

func (h *itemHeap) Swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	h.items[i].pos, h.items[j].pos = i, j
}

// Push is called by container/heap.
func (h *itemHeap) Push(x any) {
	it := x.(*item)
	it.in, it.pos = h, len(h.items)
	h.items = append(h.items, it)
}

// Pop is called by container/heap.
func (h *itemHeap) Pop() any {
	last := len(h.items) - 1
	it := h.items[last]
	h.items[last] = nil
	h.items = h.items[:last]
	it.in = nil
	return it
}

// flow is the queue of one account inside one tier.
type flow struct {
	account plan.AccountID
	share   float64
	// virtual is the account's received work divided by its share. It never
	// goes back.
	virtual float64
	queued  Work
	count   int
	picks   int
	// newest is the end of the list of queued items by arrival.
	newest *item
	lanes  [laneCount]flowLane
	// pos is the flow's index in each lane's heap, or -1.
	pos [laneCount]int
}

// flowLane holds a flow's items of one lane.
type flowLane struct {
	// due holds items that can still meet their deadline, late the others.
	due, late itemHeap
}

func (l *flowLane) empty() bool { return len(l.due.items) == 0 && len(l.late.items) == 0 }

// head returns the item of the lane that goes next. Items whose deadline has
// passed move behind those that can still meet theirs.
func (f *flow) head(now time.Time, id laneID) *item {
	l := &f.lanes[id]
	for len(l.due.items) > 0 && l.due.items[0].deadline.Before(now) {
		it := heap.Pop(&l.due).(*item)
		heap.Push(&l.late, it)
	}
	lateFirst := f.picks%lateTurn == lateTurn-1
	if len(l.late.items) > 0 && (lateFirst || len(l.due.items) == 0) {
		return l.late.items[0]
	}
	if len(l.due.items) > 0 {
		return l.due.items[0]
	}
	return nil
}

// oldestLate returns an item that can't meet its deadline any more, or nil.
func (f *flow) oldestLate() *item {
	for i := range f.lanes {
		if late := f.lanes[i].late.items; len(late) > 0 {
			return late[0]
		}
	}
	return nil
}

func (f *flow) link(it *item) {
	it.older = f.newest
	if f.newest != nil {
		f.newest.newer = it
	}
	f.newest = it
}

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

// flowHeap orders the flows of one lane by virtual time.
type flowHeap struct {
	lane  laneID
	flows []*flow
}

func (h *flowHeap) Len() int { return len(h.flows) }

func (h *flowHeap) Less(i, j int) bool {
	a, b := h.flows[i], h.flows[j]
	if a.virtual == b.virtual {
		return a.account < b.account
	}
	return a.virtual < b.virtual
}

func (h *flowHeap) Swap(i, j int) {
	h.flows[i], h.flows[j] = h.flows[j], h.flows[i]
	h.flows[i].pos[h.lane], h.flows[j].pos[h.lane] = i, j
}

// Push is called by container/heap.
func (h *flowHeap) Push(x any) {
	f := x.(*flow)
	f.pos[h.lane] = len(h.flows)
	h.flows = append(h.flows, f)
}

// Pop is called by container/heap.
func (h *flowHeap) Pop() any {
	last := len(h.flows) - 1
	f := h.flows[last]
	h.flows[last] = nil
	h.flows = h.flows[:last]
	f.pos[h.lane] = -1
	return f
}

// tierQueue holds the queued requests of one tier. Accounts share the tier by
// virtual-time fair queueing; inside an account the earliest deadline goes
// first.
type tierQueue struct {
	tier  plan.Tier
	lanes [laneCount]flowHeap
	flows map[plan.AccountID]*flow
	// clock is the virtual time of the last pick. A flow that becomes active
	// starts no earlier.
	clock float64
	// queued and count leave the floor slot out.
	queued Work
	count  int
	// floorSlot holds the one request that the tier's floor carries. It is not part
	// of the queue: it can't be shed, and it takes no room from other tiers.
	floorSlot *item
	// credit is the work that the floor has earned since the floor slot was filled.
	credit Work
	// seen is when the tier's last request came.
	seen time.Time
	// patience is a moving bound of the tier's first-token targets.
	patience time.Duration
	// extra is the part of each limit that the tier leaves free because higher
	// tiers had to wait. It lies between 0 and extraMost.
	extra float64
	// granted is the work granted since the last tick, pace the moving mean of
	// the work granted per second.
	granted Work
	pace    float64
}

func newTierQueue(tier plan.Tier) *tierQueue {
	q := &tierQueue{tier: tier, flows: map[plan.AccountID]*flow{}}
	for i := range q.lanes {
		q.lanes[i].lane = laneID(i)
	}
	return q
}

func (q *tierQueue) flowOf(ask *Request) *flow {
	f := q.flows[ask.Account]
	if f == nil {
		f = &flow{account: ask.Account}
		for i := range f.pos {
			f.pos[i] = -1
			f.lanes[i].late.byArrival = true
		}
		q.flows[ask.Account] = f
	}
	f.share = ask.Share
	return f
}

func (q *tierQueue) add(it *item) {
	f := q.flowOf(&it.ask)
	if f.count == 0 {
		f.virtual = max(f.virtual, q.clock)
	}
	it.flow = f
	f.link(it)
	f.count++
	f.queued += it.work
	q.count++
	q.queued += it.work
	l := &f.lanes[it.lane]
	heap.Push(&l.due, it)
	if f.pos[it.lane] < 0 {
		heap.Push(&q.lanes[it.lane], f)
	}
}

func (q *tierQueue) remove(it *item) {
	f := it.flow
	heap.Remove(it.in, it.pos)
	f.unlink(it)
	f.count--
	f.queued -= it.work
	q.count--
	q.queued -= it.work
	if f.lanes[it.lane].empty() {
		heap.Remove(&q.lanes[it.lane], f.pos[it.lane])
	}
}

// next returns the item of the lane that goes next, or nil.
func (q *tierQueue) next(now time.Time, id laneID) *item {
	if len(q.lanes[id].flows) == 0 {
		return nil
	}
	return q.lanes[id].flows[0].head(now, id)
}

// first returns the item of any lane that goes next, or nil.
func (q *tierQueue) first(now time.Time) *item {
	var best *flow
	var lane laneID
	for id := range laneCount {
		if len(q.lanes[id].flows) == 0 {
			continue
		}
		if f := q.lanes[id].flows[0]; best == nil || f.virtual < best.virtual {
			best, lane = f, id
		}
	}
	if best == nil {
		return nil
	}
	return best.head(now, lane)
}

// charge books the work of a granted item to its account.
func (q *tierQueue) charge(it *item) {
	f := it.flow
	q.clock = max(q.clock, f.virtual)
	f.virtual += float64(it.work) / f.share
	f.picks++
	for id := range laneCount {
		if f.pos[id] >= 0 {
			heap.Fix(&q.lanes[id], f.pos[id])
		}
	}
}

// victim returns the item that is given up first. The queue must not be empty.
// It is one that is late already, if there is any, since its answer would be
// late for certain; else the newest item of the account that is furthest over
// its share, counting what it has queued.
func (q *tierQueue) victim() *item {
	var worst, latest *flow
	var most, latestMost float64
	for id := range q.lanes {
		for _, f := range q.lanes[id].flows {
			ahead := f.virtual + float64(f.queued)/f.share
			if worst == nil || ahead > most || (ahead == most && f.account < worst.account) {
				worst, most = f, ahead
			}
			if f.oldestLate() != nil && (latest == nil || ahead > latestMost || (ahead == latestMost && f.account < latest.account)) {
				latest, latestMost = f, ahead
			}
		}
	}
	if latest != nil {
		return latest.oldestLate()
	}
	return worst.newest
}

// paceSpan is the time over which the pace of a tier is averaged.
const paceSpan = 3 * time.Second

// measure updates the pace after a span without measurement.
func (q *tierQueue) measure(span time.Duration) {
	weight := min(1, span.Seconds()/paceSpan.Seconds())
	now := float64(q.granted) / span.Seconds()
	q.pace += weight * (now - q.pace)
	q.granted = 0
}

// noteTarget takes in when a request's first token is due after its arrival.
func (q *tierQueue) noteTarget(now time.Time, target time.Duration) {
	q.seen = now
	if target > q.patience {
		q.patience = target
		return
	}
	q.patience += time.Duration(smoothing * float64(target-q.patience))
}

const (
	// latePart is the part of the target that a wait in the queue may
	// take; the engine needs the rest.
	latePart = 0.8
	// farBehindPart is the multiple of the target above which a tier is far
	// behind.
	farBehindPart = 1.2
	// waitLeast is a wait for which nothing is refused: a caller that is refused
	// and asks again would wait longer.
	waitLeast = 2 * time.Second
)

// wouldBeLate says whether a request at the end of the queue would wait longer than
// the given part of its target at the tier's pace, which is at least the given
// one.
func (q *tierQueue) wouldBeLate(least, part float64) bool {
	if q.count < 2 {
		return false
	}
	wait := time.Duration(float64(q.queued) / max(q.pace, least) * float64(time.Second))
	return float64(wait) > part*float64(q.patience) && wait > waitLeast
}

// prune forgets accounts that have nothing queued and are not ahead of the
// tier's clock.
func (q *tierQueue) prune() {
	for id, f := range q.flows {
		if f.count == 0 && f.virtual <= q.clock && (q.floorSlot == nil || q.floorSlot.flow != f) {
			delete(q.flows, id)
		}
	}
}
