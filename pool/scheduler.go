// Package pool implements the scheduling policy: which request runs when and on
// which upstream. A Scheduler is the state machine of one pool: it takes events
// and returns commands. It has no clock and no goroutine and does no I/O; the
// current time is an argument.
//
// Requests are ordered strictly by tier, then by weighted fair queueing between
// the accounts of a tier, then by earliest deadline within an account. Every tier
// below the highest has a floor slot, which guards it against starvation: it
// holds one request outside the queue, which earns credit while other tiers are
// served. docs/SCHEDULING.md describes the algorithm and the reasons for it.
package pool

import (
	"time"

	"mulberrydyke/plan"
)

const (
	// maxQueueSeconds limits the queued work to what the pool does in this time.
	maxQueueSeconds = 4.0
	// initialSlotRate is the assumed work per second of one slot until a run ends.
	initialSlotRate = 30.0
	// workPerPromptToken is the work of the prefill of one prompt token.
	workPerPromptToken = 0.02
	// hugePromptTokens is the length above which a prompt is huge.
	hugePromptTokens Tokens = 6000
	// maxFloorWait is the longest time that a request in a floor slot waits for
	// credit.
	maxFloorWait = 2 * time.Second
	// prefixLoadFactor bounds the load that placement by prefix may put on one
	// upstream, as a multiple of the mean load of the pool.
	prefixLoadFactor = 1.25
	// maxUnprovenUpstreams is the number of upstreams on which content may run at
	// once until it has finished for the first time.
	maxUnprovenUpstreams = 2
	// reserveDuration is how long capacity is reserved for a tier after its last
	// request.
	reserveDuration = 10 * time.Second
	// confirmGracePeriod is the minimum age at which a grant that its host does not
	// confirm is released.
	confirmGracePeriod = 2 * time.Second
	// takeoverHold is how long a new scheduler waits for reports of running
	// requests before it grants any.
	takeoverHold = 250 * time.Millisecond
)

// Scheduler is the state machine that schedules the requests of one pool.
type Scheduler struct {
	tiers    [plan.LowestTier + 1]*tierQueue
	floors   [plan.LowestTier + 1]float64
	backends []*backend
	byID     map[plan.UpstreamID]*backend
	waiting  map[RequestID]*item
	runs     map[RequestID]*run
	// unproven lists, for content that has never finished, the upstreams that
	// are running it.
	unproven   map[ContentHash][]*backend
	suspects   *Suspects
	prefixes   crashingPrefixes
	predictor  predictor
	quarantine time.Duration
	// holdUntil is the time until which a new scheduler grants nothing, since it
	// may not know all running requests yet. It is zero otherwise.
	holdUntil time.Time
	// lastMeasured is when the work rates of the tiers were last updated.
	lastMeasured time.Time
	// slotRate is the moving average of the work per second of one busy slot.
	slotRate   float64
	lastSerial uint64
	freeItems  []*item
	// freeRuns holds run records for reuse. A record is added only after the end
	// of its run has been handled.
	freeRuns    []*run
	commands    []Command
	intervalBuf []time.Duration
}

// NewScheduler returns a scheduler without upstreams. If takeover is set, it
// grants nothing until FinishTakeover is called or takeoverHold has passed, so
// that the other hosts can first report their runs. Schedulers that run in the
// same goroutine may share suspects.
func NewScheduler(now time.Time, takeover bool, suspects *Suspects) *Scheduler {
	s := &Scheduler{
		byID:       map[plan.UpstreamID]*backend{},
		waiting:    map[RequestID]*item{},
		runs:       map[RequestID]*run{},
		unproven:   map[ContentHash][]*backend{},
		suspects:   suspects,
		prefixes:   newCrashingPrefixes(),
		predictor:  predictor{histograms: map[histogramKey]*lengthHistogram{}},
		quarantine: plan.DefaultQuarantine,
		slotRate:   initialSlotRate,
	}
	for t := plan.HighestTier; t <= plan.LowestTier; t++ {
		s.tiers[t] = newTierQueue(t)
	}
	if takeover {
		s.holdUntil = now.Add(takeoverHold)
	}
	return s
}

// Update applies an event and returns the resulting commands. The returned slice
// is valid until the next call.
func (s *Scheduler) Update(now time.Time, e Event) []Command {
	s.commands = s.commands[:0]
	switch e := e.(type) {
	case *Submitted:
		s.handleSubmitted(now, &e.Request)
	case *Withdrawn:
		s.handleWithdrawn(now, e.ID)
	case *Started:
		s.handleStarted(now, e)
	case *Ended:
		s.handleEnded(now, e)
	case *TermsStated:
		s.handleTermsStated(now, e)
	case *LoadReported:
		s.handleLoadReported(now, e)
	case *Reconfigured:
		s.handleReconfigured(now, e)
	case *RunsRestored:
		s.handleRunsRestored(now, e.Runs)
	case *CrashesReported:
		s.suspects.Merge(now, e.Suspects, s.quarantine)
	case *HostGone:
		s.handleHostGone(now, e)
	case *GrantsConfirmed:
		s.handleGrantsConfirmed(e)
	case *Ticked:
		s.handleTicked(now)
	}
	if now.Before(s.holdUntil) {
		return s.commands
	}
	s.dispatch(now)
	s.shed()
	return s.commands
}

// handleSubmitted queues a request. It ignores one that is already waiting and
// refuses one that is quarantined or that arrives while no upstream takes new
// work.
func (s *Scheduler) handleSubmitted(now time.Time, req *Request) {
	if s.waiting[req.ID] != nil {
		return
	}
	if r := s.runs[req.ID]; r != nil {
		// The host submits it again because the reply with its grant was lost.
		s.removeRun(req.ID, r)
	}
	if left := s.quarantineLeft(now, req); left > 0 {
		s.refuse(req.ID, Quarantined, left)
		return
	}
	if !s.anyLive() {
		s.refuse(req.ID, NoUpstream, time.Second)
		return
	}
	it := s.newItem(now, req)
	s.waiting[req.ID] = it
	q := s.tiers[req.Tier]
	q.recordTarget(now, req.Target.FirstToken.Std())
	q.add(it)
	s.fillFloorSlot(now, q)
}

// quarantineLeft returns how long requests like this are still refused, or zero.
func (s *Scheduler) quarantineLeft(now time.Time, req *Request) time.Duration {
	return max(s.suspects.QuarantineLeft(now, req.Content), s.prefixes.quarantineLeft(now, req.Prefix))
}

// newItem returns a queue item for a request. It reuses a recycled one if there
// is any.
func (s *Scheduler) newItem(now time.Time, req *Request) *item {
	var it *item
	if n := len(s.freeItems); n > 0 {
		it, s.freeItems = s.freeItems[n-1], s.freeItems[:n-1]
	} else {
		it = &item{}
	}
	s.lastSerial++
	*it = item{
		req:      *req,
		lane:     ordinaryLane,
		work:     s.estimateWork(req),
		deadline: req.Arrived.Add(time.Duration(queueWaitFraction * float64(req.Target.FirstToken.Std()))),
		serial:   s.lastSerial,
	}
	it.huge = req.Prompt > hugePromptTokens
	it.suspect = s.suspects.IsSuspect(now, req.Content)
	switch {
	case it.suspect:
		it.lane = restrictedLane
	case it.huge:
		it.lane = hugePromptLane
	}
	return it
}

// estimateWork returns the expected work of a request: its predicted output and
// the prefill of its prompt.
func (s *Scheduler) estimateWork(req *Request) Work {
	return Work(float64(s.predictor.estimate(req)) + workPerPromptToken*float64(req.Prompt))
}

// fillFloorSlot moves the next request of a tier to the tier's floor slot if that
// is empty. The highest tier has no floor slot, since no other tier goes first.
func (s *Scheduler) fillFloorSlot(now time.Time, q *tierQueue) {
	if q.tier == plan.HighestTier || q.floorSlot != nil || q.count == 0 {
		return
	}
	it := q.nextAnyLane(now)
	q.remove(it)
	it.floorSlotSince = now
	q.floorSlot, q.floorCredit = it, 0
}

// refuseItem refuses a request that was removed from its queue or floor slot.
func (s *Scheduler) refuseItem(it *item, reason Reason, after time.Duration) {
	delete(s.waiting, it.req.ID)
	s.refuse(it.req.ID, reason, after)
	s.recycleItem(it)
}

// recycleItem keeps an item for reuse.
func (s *Scheduler) recycleItem(it *item) {
	*it = item{}
	s.freeItems = append(s.freeItems, it)
}

// removeWaiting removes a waiting request from its floor slot or its queue.
func (s *Scheduler) removeWaiting(now time.Time, it *item) {
	q := s.tiers[it.req.Tier]
	if q.floorSlot == it {
		q.floorSlot = nil
		s.fillFloorSlot(now, q)
		return
	}
	q.remove(it)
}

// handleWithdrawn removes a waiting request whose caller disconnected.
func (s *Scheduler) handleWithdrawn(now time.Time, id RequestID) {
	if it := s.waiting[id]; it != nil {
		s.removeWaiting(now, it)
		delete(s.waiting, id)
		s.recycleItem(it)
	}
}

// handleStarted records the first token of a run. The latency of a huge prompt
// does not affect the limit of its upstream.
func (s *Scheduler) handleStarted(now time.Time, e *Started) {
	r := s.runs[e.ID]
	if r == nil || r.started {
		return
	}
	r.started = true
	r.backend.pendingPrefill -= r.req.prefillTokens()
	if r.huge {
		r.backend.hugePrefills--
		return
	}
	r.backend.recordFirstToken(now, e.Latency, r.req.Target)
}

// handleEnded releases a run and updates the health of its upstream.
func (s *Scheduler) handleEnded(now time.Time, e *Ended) {
	r := s.runs[e.ID]
	if r == nil {
		return
	}
	s.removeRun(e.ID, r)
	defer s.recycleRun(r)
	b := r.backend
	switch e.Outcome {
	case Done:
		s.recordFinished(now, r, e)
	case Crashed:
		b.markDown(now)
		s.suspects.RecordCrash(now, r.req.Content, Crash{Upstream: b.id, Instance: e.Instance}, s.quarantine)
		s.prefixes.recordCrash(now, &r.req, e.Instance)
	case Stalled:
		b.markDown(now)
	case Refused:
		if b.consecutiveRefusals++; b.consecutiveRefusals >= maxConsecutiveRefusals {
			b.markDown(now)
		}
	}
}

// recordFinished updates the estimates with a run whose whole answer was
// received.
func (s *Scheduler) recordFinished(now time.Time, r *run, e *Ended) {
	s.predictor.add(&r.req, e.Output)
	s.suspects.RecordFinished(r.req.Content)
	s.prefixes.recordFinished(r.req.Prefix, r.grantedAt)
	if runSeconds := now.Sub(r.grantedAt).Seconds(); runSeconds > 0 && e.Output > 0 {
		rate := (float64(e.Output) + workPerPromptToken*float64(r.req.Prompt)) / runSeconds
		s.slotRate += 0.05 * (rate - s.slotRate)
	}
	b := r.backend
	if !r.started && e.FirstToken > 0 {
		b.recordFirstToken(now, e.FirstToken, r.req.Target)
	}
	b.recordFinished(now, e.Between, r.req.Target)
	if b.health == probation {
		s.finishProbe(now, b, e.Between)
	}
}

// handleLoadReported records the memory usage of an upstream, unless a newer
// report has arrived already.
func (s *Scheduler) handleLoadReported(now time.Time, e *LoadReported) {
	b := s.byID[e.Upstream]
	measuredAt := now.Add(-e.Age)
	if b == nil || measuredAt.Before(b.memoryMeasuredAt) {
		return
	}
	b.memoryUsed, b.memoryMeasuredAt = e.Memory, measuredAt
	b.terms.observe(e.Instance)
}

// handleHostGone removes all requests and runs of one incarnation of an entry
// host.
func (s *Scheduler) handleHostGone(now time.Time, e *HostGone) {
	for id, it := range s.waiting {
		if id.Host == e.Host && id.Incarnation == e.Incarnation {
			s.removeWaiting(now, it)
			delete(s.waiting, id)
			s.recycleItem(it)
		}
	}
	for id, r := range s.runs {
		if id.Host == e.Host && id.Incarnation == e.Incarnation {
			s.removeRun(id, r)
		}
	}
}

// handleGrantsConfirmed releases the grants that their host no longer holds,
// because the report of their end was lost.
func (s *Scheduler) handleGrantsConfirmed(e *GrantsConfirmed) {
	held := make(map[uint64]bool, len(e.Held))
	for _, n := range e.Held {
		held[n] = true
	}
	for id, r := range s.runs {
		fromHost := id.Host == e.Host && id.Incarnation == e.Incarnation
		if fromHost && !held[id.Sequence] && e.QueriedAt.Sub(r.grantedAt) > confirmGracePeriod {
			s.removeRun(id, r)
		}
	}
}

// handleTicked does the periodic work: it expires suspects and idle accounts,
// updates work rates and reserves, puts upstreams on probation and ejects
// stragglers.
func (s *Scheduler) handleTicked(now time.Time) {
	s.suspects.Expire(now)
	s.prefixes.expire(now)
	s.dropUnlisted()
	elapsed := now.Sub(s.lastMeasured)
	for _, q := range s.tiers[1:] {
		q.prune()
		q.extraReserve *= extraReserveDecay
		if elapsed > 0 && !s.lastMeasured.IsZero() {
			q.updateWorkRate(elapsed)
		}
	}
	s.lastMeasured = now
	for _, b := range s.backends {
		if b.health == down && !now.Before(b.downUntil) {
			b.health = probation
		}
	}
	s.ejectStragglers(now)
}
