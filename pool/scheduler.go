// Package pool decides which request runs where and when. A Scheduler is the
// decision core of one pool: it is told events and returns commands. It holds
// no clock, no goroutine and does no I/O; the present time is an argument.
//
// The order is strict by tier, fair between the accounts of a tier, and by
// earliest deadline inside an account. Every tier below the highest has a
// floor slot: one request outside the queue, which earns credit while others are
// served. docs/SCHEDULING.md gives the rule and the argument.
package pool

import (
	"slices"
	"time"

	"mulberrydyke/plan"
)

const (
	// queueSeconds bounds the queue: the work that the pool does in this time.
	queueSeconds = 4.0
	// firstRate is the assumed work per second of one slot before any run ended.
	firstRate = 30.0
	// promptWork is the work of reading one token of a prompt.
	promptWork = 0.02
	// bulkyPrompt is the length above which a prompt is huge.
	bulkyPrompt Tokens = 6000
	// floorPatience is how long a request in a floor slot waits for credit at the most.
	floorPatience = 2 * time.Second
	// spread bounds the load that prefix placement may put on one upstream, as
	// a multiple of the pool's mean.
	spread = 1.25
	// unprovenRuns is on how many upstreams a content may run at once before it
	// finished for the first time.
	unprovenRuns = 2
	// reserveTime is how long room is kept for a tier after its last request.
	reserveTime = 10 * time.Second
	// confirmGrace is how old a grant must be to be missed.
	confirmGrace = 2 * time.Second
	// holdBack is how long a new scheduler waits for news of running requests.
	holdBack = 250 * time.Millisecond
)

// run is a granted request.
type run struct {
	ask     Request
	backend *backend
	work    Work
	huge    bool
	suspect bool
	started bool
	granted time.Time
}

// Scheduler is the decision core of one pool.
type Scheduler struct {
	tiers    [plan.LowestTier + 1]*tierQueue
	floors   [plan.LowestTier + 1]float64
	backends []*backend
	byID     map[plan.UpstreamID]*backend
	waiting  map[RequestID]*item
	runs     map[RequestID]*run
	// unproven gives, for contents that never finished, where they run now.
	unproven   map[ContentHash][]*backend
	suspects   *Suspects
	predictor  predictor
	quarantine time.Duration
	// holdUntil is set while a new scheduler doesn't know yet what runs.
	holdUntil time.Time
	// measured is when the tiers' pace was last measured.
	measured time.Time
	// rate is the measured work per second of one busy slot.
	rate   float64
	serial uint64
	free   []*item
	// freeRuns are run records for use again. A record is only put here once
	// its end has been handled.
	freeRuns []*run
	out      []Command
	times    []time.Duration
}

// NewScheduler returns a scheduler without upstreams. With takeover it grants
// nothing until RunsRestored events came from the other hosts or a short time has
// passed. Suspects may be shared by the schedulers of one goroutine.
func NewScheduler(now time.Time, takeover bool, suspects *Suspects) *Scheduler {
	s := &Scheduler{
		byID:       map[plan.UpstreamID]*backend{},
		waiting:    map[RequestID]*item{},
		runs:       map[RequestID]*run{},
		unproven:   map[ContentHash][]*backend{},
		suspects:   suspects,
		predictor:  predictor{seen: map[lengthKey]*lengths{}},
		quarantine: plan.DefaultQuarantine,
		rate:       firstRate,
	}
	for t := plan.HighestTier; t <= plan.LowestTier; t++ {
		s.tiers[t] = newTierQueue(t)
	}
	if takeover {
		s.holdUntil = now.Add(holdBack)
	}
	return s
}

// Update takes an event in and returns what follows from it. The returned
// slice is valid until the next call.
func (s *Scheduler) Update(now time.Time, e Event) []Command {
	s.out = s.out[:0]
	switch e := e.(type) {
	case *Submitted:
		s.asked(now, &e.Request)
	case *Withdrawn:
		s.withdrawn(now, e.ID)
	case *Started:
		s.started(now, e)
	case *Ended:
		s.ended(now, e)
	case *LoadReported:
		s.reported(now, e)
	case *Reconfigured:
		s.changed(now, e)
	case *RunsRestored:
		s.restored(now, e.Runs)
	case *CrashesReported:
		s.suspects.Merge(now, e.Suspects, s.quarantine)
	case *HostGone:
		s.hostGone(now, e)
	case *GrantsConfirmed:
		s.confirmed(e)
	case *Ticked:
		s.ticked(now)
	}
	if now.Before(s.holdUntil) {
		return s.out
	}
	s.dispatch(now)
	s.shed()
	return s.out
}

func (s *Scheduler) asked(now time.Time, ask *Request) {
	if s.waiting[ask.ID] != nil {
		return
	}
	if r := s.runs[ask.ID]; r != nil {
		// The answer to its grant was lost.
		s.release(ask.ID, r)
	}
	if left := s.suspects.QuarantineLeft(now, ask.Content); left > 0 {
		s.refuse(ask.ID, Quarantined, left)
		return
	}
	if !s.anyLive() {
		s.refuse(ask.ID, NoUpstream, time.Second)
		return
	}
	it := s.newItem(now, ask)
	s.waiting[ask.ID] = it
	q := s.tiers[ask.Tier]
	q.noteTarget(now, ask.Target.FirstToken.Std())
	q.add(it)
	s.fillFloorSlot(now, q)
}

func (s *Scheduler) newItem(now time.Time, ask *Request) *item {
	var it *item
	if n := len(s.free); n > 0 {
		it, s.free = s.free[n-1], s.free[:n-1]
	} else {
		it = &item{}
	}
	s.serial++
	*it = item{
		ask:      *ask,
		lane:     ordinary,
		work:     s.workOf(ask),
		deadline: ask.Arrived.Add(time.Duration(latePart * float64(ask.Target.FirstToken.Std()))),
		serial:   s.serial,
	}
	it.huge = ask.Prompt > bulkyPrompt
	it.suspect = s.suspects.IsSuspect(now, ask.Content)
	switch {
	case it.suspect:
		it.lane = restricted
	case it.huge:
		it.lane = bulky
	}
	return it
}

func (s *Scheduler) workOf(ask *Request) Work {
	return Work(float64(s.predictor.estimate(ask)) + promptWork*float64(ask.Prompt))
}

// fillFloorSlot moves the request that goes next in a tier to its free floor slot. The
// highest tier needs none, since nothing goes before it.
func (s *Scheduler) fillFloorSlot(now time.Time, q *tierQueue) {
	if q.tier == plan.HighestTier || q.floorSlot != nil || q.count == 0 {
		return
	}
	it := q.first(now)
	q.remove(it)
	it.heldSince = now
	q.floorSlot, q.credit = it, 0
}

// refuseItem refuses a request that was taken out of the queue.
func (s *Scheduler) refuseItem(it *item, reason Reason, after time.Duration) {
	delete(s.waiting, it.ask.ID)
	s.refuse(it.ask.ID, reason, after)
	s.recycle(it)
}

func (s *Scheduler) recycle(it *item) {
	*it = item{}
	s.free = append(s.free, it)
}

// takeOut removes a waiting request from its floor slot or its queue.
func (s *Scheduler) takeOut(now time.Time, it *item) {
	q := s.tiers[it.ask.Tier]
	if q.floorSlot == it {
		q.floorSlot = nil
		s.fillFloorSlot(now, q)
		return
	}
	q.remove(it)
}

func (s *Scheduler) withdrawn(now time.Time, id RequestID) {
	if it := s.waiting[id]; it != nil {
		s.takeOut(now, it)
		delete(s.waiting, id)
		s.recycle(it)
	}
}

func (s *Scheduler) started(now time.Time, e *Started) {
	r := s.runs[e.ID]
	if r == nil || r.started {
		return
	}
	r.started = true
	r.backend.unread -= r.ask.unread()
	if r.huge {
		r.backend.reading--
		return
	}
	r.backend.started(now, e.Latency, r.ask.Target)
}

func (s *Scheduler) ended(now time.Time, e *Ended) {
	r := s.runs[e.ID]
	if r == nil {
		return
	}
	s.release(e.ID, r)
	defer s.reuse(r)
	b := r.backend
	switch e.Outcome {
	case Done:
		s.finished(now, r, e)
	case Crashed:
		b.takeDown(now)
		s.suspects.RecordCrash(now, r.ask.Content, Crash{Upstream: b.id, Instance: e.Instance}, s.quarantine)
	case Stalled:
		b.takeDown(now)
	case Refused:
		if b.refusals++; b.refusals >= refusalLimit {
			b.takeDown(now)
		}
	}
}

func (s *Scheduler) finished(now time.Time, r *run, e *Ended) {
	s.predictor.add(&r.ask, e.Output)
	s.suspects.RecordFinished(r.ask.Content)
	if span := now.Sub(r.granted).Seconds(); span > 0 && e.Output > 0 {
		rate := (float64(e.Output) + promptWork*float64(r.ask.Prompt)) / span
		s.rate += 0.05 * (rate - s.rate)
	}
	b := r.backend
	if !r.started && e.FirstToken > 0 {
		b.started(now, e.FirstToken, r.ask.Target)
	}
	b.ended(now, e.Between, r.ask.Target)
	if b.health == probation {
		s.judgeProbe(now, b, e.Between)
	}
}

// judgeProbe takes an upstream back, unless it is still a straggler.
func (s *Scheduler) judgeProbe(now time.Time, b *backend, between time.Duration) {
	median := s.median()
	if b.straggler && median > 0 && float64(between) > recoveredFactor*float64(median) {
		b.takeDown(now)
		return
	}
	b.restore()
}

func (s *Scheduler) median() time.Duration {
	if cap(s.times) < len(s.backends) {
		s.times = make([]time.Duration, 0, len(s.backends))
	}
	return medianBetween(s.backends, s.times)
}

func (s *Scheduler) reuse(r *run) {
	*r = run{}
	s.freeRuns = append(s.freeRuns, r)
}

// release takes a run off its upstream's books.
func (s *Scheduler) release(id RequestID, r *run) {
	b := r.backend
	b.inFlight--
	b.work -= r.work
	if r.suspect {
		b.suspects--
	}
	if !r.started {
		b.unread -= r.ask.unread()
	}
	if r.huge && !r.started {
		b.reading--
	}
	s.leaveUnproven(r)
	delete(s.runs, id)
}

func (s *Scheduler) leaveUnproven(r *run) {
	held := s.unproven[r.ask.Content]
	i := slices.Index(held, r.backend)
	if i < 0 {
		return
	}
	held = slices.Delete(held, i, i+1)
	if len(held) == 0 {
		delete(s.unproven, r.ask.Content)
		return
	}
	s.unproven[r.ask.Content] = held
}

func (s *Scheduler) reported(now time.Time, e *LoadReported) {
	b := s.byID[e.Upstream]
	taken := now.Add(-e.Age)
	if b == nil || taken.Before(b.memoryAt) {
		return
	}
	b.memory, b.memoryAt = e.Memory, taken
}

func (s *Scheduler) hostGone(now time.Time, e *HostGone) {
	for id, it := range s.waiting {
		if id.Host == e.Host && id.Incarnation == e.Incarnation {
			s.takeOut(now, it)
			delete(s.waiting, id)
			s.recycle(it)
		}
	}
	for id, r := range s.runs {
		if id.Host == e.Host && id.Incarnation == e.Incarnation {
			s.release(id, r)
		}
	}
}

// confirmed releases grants that their host does not hold any more: the report
// of their end was lost.
func (s *Scheduler) confirmed(e *GrantsConfirmed) {
	held := make(map[uint64]bool, len(e.Held))
	for _, n := range e.Held {
		held[n] = true
	}
	for id, r := range s.runs {
		mine := id.Host == e.Host && id.Incarnation == e.Incarnation
		if mine && !held[id.Sequence] && e.QueriedAt.Sub(r.granted) > confirmGrace {
			s.release(id, r)
		}
	}
}

func (s *Scheduler) ticked(now time.Time) {
	s.suspects.Expire(now)
	s.dropUnlisted()
	span := now.Sub(s.measured)
	for _, q := range s.tiers[1:] {
		q.prune()
		q.extra *= extraKeep
		if span > 0 && !s.measured.IsZero() {
			q.measure(span)
		}
	}
	s.measured = now
	for _, b := range s.backends {
		if b.health == down && !now.Before(b.downUntil) {
			b.health = probation
		}
	}
	s.ejectStragglers(now)
}

// ejectStragglers takes upstreams out that are much slower than the median, up
// to a bounded part of the pool.
func (s *Scheduler) ejectStragglers(now time.Time) {
	median := s.median()
	if median == 0 {
		return
	}
	out := 0
	for _, b := range s.backends {
		if b.health != healthy {
			out++
		}
	}
	for _, b := range s.backends {
		if float64(out+1) > max(1, ejectedPart*float64(len(s.backends))) {
			return
		}
		slow := b.samples >= stragglerSamples && float64(b.between) > stragglerFactor*float64(median)
		if b.health == healthy && slow {
			b.straggler = true
			b.takeDown(now)
			out++
		}
	}
}
