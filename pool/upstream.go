package pool

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"mulberrydyke/plan"
)

const (
	// limitLeast and limitMost bound an upstream's adaptive limit as parts of
	// its slots.
	limitLeast = 0.25
	limitMost  = 1.0
	// tierReserve is the part of the limit that each tier leaves free for every
	// higher one that sends requests, up to reserveTiers of them.
	tierReserve  = 0.125
	reserveTiers = 3
	// unreadMost is the length of unread prompts on one upstream up to which
	// tiers below others that send requests get new work there, since engines
	// read prompts one after the other.
	unreadMost Tokens = 1000
	// firstTokenPart is the part of the first-token target that an upstream
	// may use up; the rest is for the queue.
	firstTokenPart = 0.5
	limitBackoff   = 0.92
	// backoffPause is the least time between two cuts of one limit.
	backoffPause = 250 * time.Millisecond
	// smoothing is the weight of a new sample in a moving mean.
	smoothing = 0.2
	// memoryFull is the used part of KV memory above which an upstream gets
	// no new work.
	memoryFull = 0.97
	// reportLife is how long a load report counts.
	reportLife = 5 * time.Second

	stragglerFactor  = 2.0
	recoveredFactor  = 1.5
	stragglerSamples = 8
	// ejectedPart is the largest part of a pool that may be out as stragglers.
	ejectedPart = 0.25
	downFirst   = time.Second
	downMost    = 30 * time.Second
	// refusalLimit is the number of refusals in a row that take an upstream out.
	refusalLimit = 3
)

// health says what work an upstream may get.
type health int

const (
	// healthy upstreams get any work.
	healthy health = iota
	// down upstreams get none until a given time.
	down
	// probation upstreams get one idempotent request at a time.
	probation
)

// backend is what a scheduler knows of one upstream.
type backend struct {
	id   plan.UpstreamID
	hash uint64
	// live is false while the upstream leaves: it gets no new work.
	live bool
	// listed is false once the upstream is in no list any more.
	listed bool
	slots  float64
	// limit is the adaptive bound of concurrent runs. It lies between
	// limitLeast and limitMost times slots.
	limit float64
	// perRun is the part of the limit that one run takes.
	perRun   float64
	cutAt    time.Time
	inFlight int
	work     Work
	// unread is the length of all prompts whose first token has not come.
	unread Tokens
	// reading counts runs with a huge prompt and no token yet.
	reading  int
	suspects int

	health    health
	downUntil time.Time
	downFor   time.Duration
	straggler bool
	refusals  int

	between  time.Duration
	samples  int
	memory   float64
	memoryAt time.Time
}

func newBackend(u plan.Upstream, part float64) *backend {
	b := &backend{id: u.ID, hash: xxhash.Sum64String(string(u.ID))}
	b.size(u, part)
	b.setLimit(b.slots)
	return b
}

// size adopts what the lists say of the upstream. An engine's slots are split
// between its models, because each has a pool and a scheduler of its own.
func (b *backend) size(u plan.Upstream, part float64) {
	b.live = u.State == plan.Live
	b.slots = max(1, float64(u.Slots)*part/float64(max(1, len(u.Models))))
	b.setLimit(min(max(b.limit, b.least()), b.slots*limitMost))
}

// bound returns the number of runs at which the upstream is full for requests
// that leave the given part of the limit to others.
func (b *backend) bound(reserve float64) float64 { return b.limit * (1 - reserve) }

// lastResort says whether the upstream may be tried with any request where no
// upstream of the pool is healthy.
func (b *backend) lastResort() bool { return b.live && b.health == probation && b.inFlight == 0 }

func (b *backend) setLimit(limit float64) { b.limit, b.perRun = limit, 1/limit }

// free is the part of the limit that no run takes.
func (b *backend) free() float64 { return 1 - float64(b.inFlight)*b.perRun }

func (b *backend) least() float64 { return max(1, b.slots*limitLeast) }

// room says whether the upstream may take a request now, where the given part
// of the limit has to be left to others.
func (b *backend) room(now time.Time, it *item, reserve float64) bool {
	if !b.live || b.memory > memoryFull && now.Sub(b.memoryAt) < reportLife {
		return false
	}
	switch b.health {
	case down:
		return false
	case probation:
		return b.inFlight == 0 && it.ask.Idempotent
	}
	if float64(b.inFlight) >= b.bound(reserve) {
		return false
	}
	if reserve > 0 && b.unread > 0 && b.unread+it.ask.unread() > unreadMost {
		return false
	}
	return b.fits(it)
}

func (b *backend) fits(it *item) bool {
	return (!it.huge || b.reading == 0) && (!it.suspect || b.suspects == 0)
}

// started adapts the limit to the time of a first token.
func (b *backend) started(now time.Time, latency time.Duration, target plan.Target) {
	bound := time.Duration(firstTokenPart * float64(target.FirstToken.Std()))
	if bound > 0 && latency > bound {
		b.cut(now)
	}
}

// ended adapts the limit and the speed to a whole answer.
func (b *backend) ended(now time.Time, between time.Duration, target plan.Target) {
	b.refusals = 0
	if between <= 0 {
		return
	}
	if b.samples == 0 {
		b.between = between
	}
	b.samples++
	b.between += time.Duration(smoothing * float64(between-b.between))
	if target.BetweenTokens > 0 && between > target.BetweenTokens.Std() {
		b.cut(now)
		return
	}
	if float64(b.inFlight) >= b.limit-1 {
		b.setLimit(min(b.limit+1/b.limit, b.slots*limitMost))
	}
}

func (b *backend) cut(now time.Time) {
	if now.Sub(b.cutAt) < backoffPause {
		return
	}
	b.cutAt = now
	b.setLimit(max(b.least(), b.limit*limitBackoff))
}

// takeDown keeps new work away for a span that doubles at each failure.
func (b *backend) takeDown(now time.Time) {
	if b.health == down {
		return
	}
	b.downFor = min(max(downFirst, 2*b.downFor), downMost)
	b.health, b.downUntil = down, now.Add(b.downFor)
}

// restore ends probation.
func (b *backend) restore() {
	b.health, b.downFor, b.refusals, b.straggler = healthy, 0, 0, false
	b.samples = 0
}

// score ranks upstreams for a prefix: the same prefix prefers the same
// upstream as long as it stays in the pool.
func (b *backend) score(p PrefixHash) uint64 {
	var raw [16]byte
	binary.LittleEndian.PutUint64(raw[:8], uint64(p))
	binary.LittleEndian.PutUint64(raw[8:], b.hash)
	return xxhash.Sum64(raw[:])
}

// tooSlow says whether the upstream's tokens come slower than a target allows.
func (b *backend) tooSlow(t plan.Target) bool {
	return t.BetweenTokens > 0 && b.samples >= stragglerSamples && b.between > t.BetweenTokens.Std()
}

// load is the expected wait on the upstream, relative to the others.
func (b *backend) load() float64 {
	speed := 1.0
	if b.samples > 0 {
		speed = b.between.Seconds()
	}
	running := float64(b.inFlight) + 1 + promptWork*float64(b.unread)
	return running * speed / b.limit
}

// medianBetween returns the pool's median gap between tokens, or zero where
// fewer than three upstreams have been measured.
func medianBetween(backends []*backend, scratch []time.Duration) time.Duration {
	scratch = scratch[:0]
	for _, b := range backends {
		if b.samples >= stragglerSamples && b.live {
			scratch = append(scratch, b.between)
		}
	}
	if len(scratch) < 3 {
		return 0
	}
	slices.Sort(scratch)
	return scratch[(len(scratch)-1)/2]
}
