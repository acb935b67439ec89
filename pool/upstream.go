package pool

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"mulberrydyke/plan"
)

const (
	// minLimitFraction and maxLimitFraction bound an upstream's adaptive limit as
	// fractions of its slots.
	minLimitFraction = 0.25
	maxLimitFraction = 1.0
	// tierReserve is the fraction of an upstream's limit that each tier leaves
	// free for each higher tier that recently had requests, up to
	// maxReserveTiers of them.
	tierReserve     = 0.125
	maxReserveTiers = 3
	// maxPendingPrefill bounds the pending prefill tokens of an upstream, including
	// those of a new request, if the request's tier has to leave capacity free for
	// higher tiers, since engines do the prefill of one prompt at a time. An
	// upstream without pending prefill takes a prompt of any length.
	maxPendingPrefill Tokens = 1000
	// firstTokenFraction is the fraction of the first-token target that an
	// upstream may take; the rest is for the queue.
	firstTokenFraction = 0.5
	// limitBackoffFactor is the factor by which a limit is reduced when an answer
	// misses its latency target.
	limitBackoffFactor = 0.92
	// minBackoffInterval is the minimum time between two reductions of one limit.
	minBackoffInterval = 250 * time.Millisecond
	// ewmaWeight is the weight of a new sample in a moving average.
	ewmaWeight = 0.2
	// maxMemoryFraction is the used fraction of the KV cache memory above which
	// an upstream gets no new work.
	maxMemoryFraction = 0.97
	// loadReportTTL is how long a load report is valid.
	loadReportTTL = 5 * time.Second

	// stragglerFactor is the multiple of the median token interval above which an
	// upstream is ejected, and recoveryFactor the multiple up to which a probe
	// makes it healthy again.
	stragglerFactor = 2.0
	recoveryFactor  = 1.5
	// minSpeedSamples is the number of answers after which the token interval of
	// an upstream is used for decisions.
	minSpeedSamples = 8
	// maxEjectedFraction is the largest fraction of a pool that may be unhealthy
	// after a straggler is ejected. A single unhealthy upstream is always allowed.
	maxEjectedFraction = 0.25
	// minDownTime and maxDownTime bound how long an upstream stays down.
	minDownTime = time.Second
	maxDownTime = 30 * time.Second
	// maxConsecutiveRefusals is the number of consecutive refusals after which an
	// upstream is marked down.
	maxConsecutiveRefusals = 3
)

// health is the state of an upstream that decides what work it may get.
type health int

const (
	// healthy means that the upstream may get any work.
	healthy health = iota
	// down means that the upstream gets no work until a given time.
	down
	// probation means that the upstream gets one idempotent request at a time.
	probation
)

// backend is the state that a scheduler keeps of one upstream.
type backend struct {
	id   plan.UpstreamID
	hash uint64
	// live is set while the upstream may get new work: it is listed and not
	// leaving.
	live bool
	// listed is false once the upstream is no longer in the pool's list.
	listed bool
	slots  float64
	// limit is the adaptive limit of concurrent runs. It lies between
	// minLimitFraction and maxLimitFraction times slots, and is at least one.
	limit float64
	// runFraction is the fraction of the limit that one run takes.
	runFraction float64
	lastBackoff time.Time
	inFlight    int
	work        Work
	// pendingPrefill is the total length of the long prompts whose first token
	// has not arrived.
	pendingPrefill Tokens
	// hugePrefills is the number of runs with a huge prompt whose first token
	// has not arrived.
	hugePrefills int
	suspectRuns  int

	health              health
	downUntil           time.Time
	downFor             time.Duration
	straggler           bool
	consecutiveRefusals int

	// terms is what the upstream said of the requests that it takes, and rateShare the
	// share of its rate that falls to this scheduler.
	terms     terms
	rateShare float64

	tokenInterval    time.Duration
	speedSamples     int
	memoryUsed       float64
	memoryMeasuredAt time.Time
}

// newBackend returns the state of a new upstream, whose limit is its number of
// slots.
func newBackend(u plan.Upstream, limitFraction float64) *backend {
	b := &backend{id: u.ID, hash: xxhash.Sum64String(string(u.ID))}
	b.resize(u, limitFraction)
	b.setLimit(b.slots)
	return b
}

// resize applies the state and the number of slots from the list of upstreams. An
// engine's slots are divided between its models, because each model has its own
// pool and scheduler.
func (b *backend) resize(u plan.Upstream, limitFraction float64) {
	b.live = u.State == plan.Live
	b.rateShare = limitFraction / float64(max(1, len(u.Models)))
	b.slots = max(1, float64(u.Slots)*b.rateShare)
	b.setLimit(min(max(b.limit, b.minLimit()), b.slots*maxLimitFraction))
}

// runLimit returns the number of runs at which the upstream is full for requests
// that have to leave the given fraction of the limit free.
func (b *backend) runLimit(reserve float64) float64 { return b.limit * (1 - reserve) }

// lastResort reports whether the upstream may be tried with any request if no
// upstream of the pool is healthy.
func (b *backend) lastResort(now time.Time) bool {
	return b.live && b.health == probation && b.inFlight == 0 && b.terms.allow(now, b.rateShare)
}

// setLimit sets the limit, and runFraction, which follows from it.
func (b *backend) setLimit(limit float64) { b.limit, b.runFraction = limit, 1/limit }

// freeFraction returns the fraction of the limit that no run takes.
func (b *backend) freeFraction() float64 { return 1 - float64(b.inFlight)*b.runFraction }

// minLimit returns the lower bound of the limit.
func (b *backend) minLimit() float64 { return max(1, b.slots*minLimitFraction) }

// canAccept reports whether the upstream may take a request now, if the given
// fraction of the limit has to stay free.
func (b *backend) canAccept(now time.Time, it *item, reserve float64) bool {
	if !b.live || b.memoryUsed > maxMemoryFraction && now.Sub(b.memoryMeasuredAt) < loadReportTTL {
		return false
	}
	if !b.terms.allow(now, b.rateShare) {
		return false
	}
	switch b.health {
	case down:
		return false
	case probation:
		return b.inFlight == 0 && it.req.Idempotent
	}
	if float64(b.inFlight) >= b.runLimit(reserve) {
		return false
	}
	if reserve > 0 && b.pendingPrefill > 0 && b.pendingPrefill+it.req.prefillTokens() > maxPendingPrefill {
		return false
	}
	return b.fits(it)
}

// fits reports whether the upstream runs no other request that excludes this one:
// it takes one huge prefill and one suspect at a time.
func (b *backend) fits(it *item) bool {
	return (!it.huge || b.hugePrefills == 0) && (!it.suspect || b.suspectRuns == 0)
}

// recordFirstToken adapts the limit to the latency of a first token.
func (b *backend) recordFirstToken(now time.Time, latency time.Duration, target plan.Target) {
	maxLatency := time.Duration(firstTokenFraction * float64(target.FirstToken.Std()))
	if maxLatency > 0 && latency > maxLatency {
		b.reduceLimit(now)
	}
}

// recordFinished adapts the limit and the token interval after a whole answer.
// The limit grows only while the upstream is nearly full.
func (b *backend) recordFinished(now time.Time, tokenInterval time.Duration, target plan.Target) {
	b.consecutiveRefusals = 0
	if tokenInterval <= 0 {
		return
	}
	if b.speedSamples == 0 {
		b.tokenInterval = tokenInterval
	}
	b.speedSamples++
	b.tokenInterval += time.Duration(ewmaWeight * float64(tokenInterval-b.tokenInterval))
	if target.BetweenTokens > 0 && tokenInterval > target.BetweenTokens.Std() {
		b.reduceLimit(now)
		return
	}
	if float64(b.inFlight) >= b.limit-1 {
		b.setLimit(min(b.limit+1/b.limit, b.slots*maxLimitFraction))
	}
}

// reduceLimit multiplies the limit by limitBackoffFactor, at most once per
// minBackoffInterval.
func (b *backend) reduceLimit(now time.Time) {
	if now.Sub(b.lastBackoff) < minBackoffInterval {
		return
	}
	b.lastBackoff = now
	b.setLimit(max(b.minLimit(), b.limit*limitBackoffFactor))
}

// markDown stops new work for a time that doubles with each failure, from
// minDownTime to maxDownTime.
func (b *backend) markDown(now time.Time) {
	if b.health == down {
		return
	}
	b.downFor = min(max(minDownTime, 2*b.downFor), maxDownTime)
	b.health, b.downUntil = down, now.Add(b.downFor)
}

// markHealthy ends probation and resets the failure counts.
func (b *backend) markHealthy() {
	b.health, b.downFor, b.consecutiveRefusals, b.straggler = healthy, 0, 0, false
	b.speedSamples = 0
}

// prefixScore returns the rendezvous hash of a prefix and the upstream. A prefix
// prefers the upstream with the highest score, so that its preference doesn't
// change when other upstreams leave the pool.
func (b *backend) prefixScore(p PrefixHash) uint64 {
	var raw [16]byte
	binary.LittleEndian.PutUint64(raw[:8], uint64(p))
	binary.LittleEndian.PutUint64(raw[8:], b.hash)
	return xxhash.Sum64(raw[:])
}

// tooSlow reports whether the upstream generates tokens more slowly than a target
// allows.
func (b *backend) tooSlow(t plan.Target) bool {
	return t.BetweenTokens > 0 && b.speedSamples >= minSpeedSamples && b.tokenInterval > t.BetweenTokens.Std()
}

// relativeLoad returns the expected wait on the upstream, in arbitrary units that
// are comparable between upstreams.
func (b *backend) relativeLoad() float64 {
	interval := 1.0
	if b.speedSamples > 0 {
		interval = b.tokenInterval.Seconds()
	}
	running := float64(b.inFlight) + 1 + workPerPromptToken*float64(b.pendingPrefill)
	return running * interval / b.limit
}

// medianTokenInterval returns the median token interval of the live upstreams, or
// zero if fewer than three have been measured.
func medianTokenInterval(backends []*backend, scratch []time.Duration) time.Duration {
	scratch = scratch[:0]
	for _, b := range backends {
		if b.speedSamples >= minSpeedSamples && b.live {
			scratch = append(scratch, b.tokenInterval)
		}
	}
	if len(scratch) < 3 {
		return 0
	}
	slices.Sort(scratch)
	return scratch[(len(scratch)-1)/2]
}
