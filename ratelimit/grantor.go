package ratelimit

import (
	"net/netip"
	"strconv"
	"sync"
	"time"

	"mulberrydyke/plan"
	"mulberrydyke/route"
)

const (
	// settleTime is how long after its start a host gives out no permits. It may not know
	// yet that another host gives them out, and who has some from its predecessor.
	settleTime = 3 * time.Second
	// coldSettleTime is the same for cold limits, if the host has heard of another one of its
	// domain. Their bound is over one second, so what a predecessor gave out no longer counts, and
	// a fleet whose hosts all restart serves soon. A host that does not know all others by then may
	// take itself for the holder, but only its own requests ask it.
	coldSettleTime = time.Second
	// asksPerPermit is how many asks the holder wants to get for each permit that it has
	// to give, and minAsksPerSecond how many it takes in any case. With more, a permit
	// waits for a shorter time.
	asksPerPermit    = 8
	minAsksPerSecond = 40
	// headStart is how long a permit is kept for the classes whose turn it is, before any
	// request gets it.
	headStart = 200 * time.Millisecond
	// maxSpread bounds the mean time over which hosts spread their asks.
	maxSpread = 3 * time.Second
	// redirectPause is the time to the next ask at a host that named another holder.
	redirectPause = time.Second
	// minRetryAfter is the shortest time to the next ask.
	minRetryAfter = 20 * time.Millisecond
	// askerTTL is how long a host counts as an asker after its last ask.
	askerTTL = 2 * time.Second
	// grantTTL is how long the answer to an ask is kept, in case it got lost.
	grantTTL = time.Second
	// bucketTTL is how long a bucket is kept that nobody asks.
	bucketTTL = time.Minute
)

// AskID identifies an ask among those of all hosts.
type AskID struct {
	Host        plan.HostID
	Incarnation uint64
	Number      uint64
}

// Ask asks a holder for a permit to send one request to an upstream.
type Ask struct {
	_      struct{} `cbor:",toarray"`
	Number uint64
	Key    route.ProcessKey
	// Rate is the rate that the upstream has announced as far as the asker knows, or NoLimit.
	Rate Rate
	// Urgency is the urgency of the request, from 0 (most urgent) to 9.
	Urgency int
	// Cold is the limit of a cold upstream, of which the holder may not know.
	Cold ColdLimit
}

// Valid reports whether an ask that was received makes sense.
func (a *Ask) Valid() bool {
	if a.Rate == NoLimit && a.Cold.Rate == NoLimit || !a.Cold.Valid() {
		return false
	}
	if a.Rate != NoLimit {
		if rate, err := NewRate(float64(a.Rate)); err != nil || rate != a.Rate {
			return false
		}
	}
	return a.Key != 0 && a.Urgency >= 0 && a.Urgency < urgencies
}

// Decision answers an Ask.
type Decision struct {
	_       struct{} `cbor:",toarray"`
	Number  uint64
	Granted bool
	// RetryAfter is the time after which the host may ask again for a request that is not
	// more urgent.
	RetryAfter time.Duration
	// Holder is the host to ask instead. It is not valid if this is the right one, or none
	// is known.
	Holder netip.Addr
}

// Grantor gives out permits for the parts of upstreams' rates that fall to this host. Its
// state ends with the process. It is safe for concurrent use.
type Grantor struct {
	holders   *Holders
	startedAt time.Time
	mu        sync.Mutex
	buckets   map[route.ProcessKey]*partBucket
}

// NewGrantor returns the Grantor of a host that has just started.
func NewGrantor(now time.Time, holders *Holders) *Grantor {
	return &Grantor{holders: holders, startedAt: now, buckets: map[route.ProcessKey]*partBucket{}}
}

// Decide answers an ask for a permit to send a request to an upstream with the given limit.
func (g *Grantor) Decide(now time.Time, id AskID, a Ask, limit Limit) Decision {
	out := Decision{Number: a.Number}
	own, part := g.holders.InOwnDomain(a.Key)
	parts, readyAt := limit.parts(g.holders.Parts()), g.readyAt(limit)
	switch {
	case own != g.holders.self:
		out.Holder, out.RetryAfter = own, redirectPause
		return out
	case part >= parts:
		// A limit with few permits has fewer parts, and this one has no permits.
		out.RetryAfter = redirectPause
		return out
	case now.Before(readyAt):
		out.RetryAfter = readyAt.Sub(now)
		return out
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	b := g.buckets[a.Key]
	if b == nil {
		b = newPartBucket(now, float64(part)/float64(parts))
		g.buckets[a.Key] = b
		g.expire(now)
	}
	b.refill(now, limit, parts)
	out.Granted, out.RetryAfter = b.decide(now, id, a.Urgency)
	return out
}

// readyAt returns when the host may give out its first permit under a limit.
func (g *Grantor) readyAt(limit Limit) time.Time {
	if limit.Announced != NoLimit || !g.holders.knowsOtherHost() {
		return g.startedAt.Add(settleTime)
	}
	return g.startedAt.Add(coldSettleTime)
}

// expire removes buckets that nobody asks. g.mu must be held.
func (g *Grantor) expire(now time.Time) {
	for k, b := range g.buckets {
		if now.Sub(b.lastUsed) > bucketTTL {
			delete(g.buckets, k)
		}
	}
}

// partBucket gives out permits for one part of an upstream's rate. It starts with less than one
// permit, a different fraction for each part, so that the permits of all parts accrue one
// after the other.
type partBucket struct {
	permits Bucket
	part    Rate
	// lastUsed is when the bucket was last asked for a permit.
	lastUsed time.Time
	classes  classes
	askers   map[process]lastAsk
	// granted holds when asks were granted lately.
	granted map[AskID]time.Time
}

// process is one process of a host that asks for permits.
type process struct {
	host        plan.HostID
	incarnation uint64
}

// lastAsk is the last ask of a process.
type lastAsk struct {
	at      time.Time
	urgency int
}

func newPartBucket(now time.Time, tokens float64) *partBucket {
	return &partBucket{permits: NewBucket(now, tokens), lastUsed: now, askers: map[process]lastAsk{}, granted: map[AskID]time.Time{}}
}

// refill adds the permits that have accrued for one of a number of parts of a limit.
func (b *partBucket) refill(now time.Time, limit Limit, parts int) {
	b.part, b.lastUsed = limit.Rate()/Rate(parts), now
	b.permits.refill(now, b.part, limit.capacity(parts))
}

// decide answers an ask. It returns the time until the next one if it is not granted. An
// ask that was granted before is granted again without another permit, since its answer
// got lost.
func (b *partBucket) decide(now time.Time, id AskID, urgency int) (granted bool, retryAfter time.Duration) {
	b.forget(now)
	if _, ok := b.granted[id]; ok {
		return true, 0
	}
	b.askers[process{id.Host, id.Incarnation}] = lastAsk{at: now, urgency: urgency}
	wait := b.permits.Wait()
	if left := b.permits.headStart(headStart) - b.permits.Saved(); wait == 0 && left > 0 && !b.classes.mayGo(now, urgency) {
		wait = left
	}
	if wait == 0 {
		b.permits.Take()
		b.granted[id] = now
		b.classes.recordGrant(now, urgency)
		return true, 0
	}
	spread := b.spread(urgency)
	b.classes.recordDenial(now, urgency, wait+2*spread)
	fraction := route.UnitFraction(route.Hash(string(id.Host), strconv.FormatUint(id.Number, 16)))
	return false, max(minRetryAfter, wait+time.Duration(2*fraction*float64(spread)))
}

// spread returns the mean time over which asks are spread, so that there are not many more
// than the holder wants. Less urgent askers don't count.
func (b *partBucket) spread(urgency int) time.Duration {
	n := 0
	for _, last := range b.askers {
		if last.urgency <= urgency {
			n++
		}
	}
	seconds := float64(n) / max(minAsksPerSecond, asksPerPermit*float64(b.part))
	return min(maxSpread, time.Duration(seconds*float64(time.Second)))
}

// forget removes askers and grants that are too old to matter.
func (b *partBucket) forget(now time.Time) {
	for id, at := range b.granted {
		if now.Sub(at) > grantTTL {
			delete(b.granted, id)
		}
	}
	for a, last := range b.askers {
		if now.Sub(last.at) > askerTTL {
			delete(b.askers, a)
		}
	}
}
