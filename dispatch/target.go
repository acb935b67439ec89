package dispatch

import (
	"math"
	"time"

	"mulberrydyke/route"
)

const (
	// shunFirst is how long an upstream is left alone after a first failure to
	// reach it. It doubles up to shunMost.
	shunFirst = 500 * time.Millisecond
	shunMost  = 4 * time.Second
	// brokenMost is the number of broken connections in a row after which an
	// upstream is left alone.
	brokenMost = 2
	// arriveSpan is the time over which arriving prompt tokens are averaged.
	arriveSpan = 1500 * time.Millisecond
	// failureWeight is the weight of one answer in the failure rate.
	failureWeight = 0.08
	// failureLife is how long failures count: an upstream that is avoided for them
	// could not show otherwise that it has recovered.
	failureLife = 3 * time.Second
	// failureLeast is the failure rate below which an upstream counts as sound.
	failureLeast = 0.02
)

// work counts what runs on one upstream.
type work struct {
	short, long int
	plain       int
	// pending counts the prompt tokens that are not read yet.
	pending int
	// arriving counts the prompt tokens sent there in a second, averaged over
	// arriveSpan.
	arriving float64
}

func (w *work) add(o work) {
	w.arriving += o.arriving
	w.short += o.short
	w.long += o.long
	w.plain += o.plain
	w.pending += o.pending
}

// times returns the work a number of times.
func (w work) times(n int) work {
	return work{short: n * w.short, long: n * w.long, plain: n * w.plain, pending: n * w.pending, arriving: float64(n) * w.arriving}
}

// running returns the number of requests.
func (w *work) running() int { return w.short + w.long + w.plain }

// target is what is known of one upstream.
type target struct {
	upstream *route.Upstream
	key      UpstreamKey
	// usable and forLong are the target's part in the division of the group.
	usable, forLong bool
	// own is what this host runs there, near what the other hosts of its domain
	// and far what the other domains last reported.
	own, near, far work
	// downVotes is the number of other hosts of the domain that leave the upstream
	// alone after failures to reach it.
	downVotes int
	// decayed is when own.arriving and failures were last brought up to date.
	decayed time.Time
	// waiting holds this host's leases without a first event.
	waiting map[*Lease]struct{}
	// misdirected says that another upstream has the address. It holds until the
	// platform lists something new of the upstream.
	misdirected bool
	// shunnedUntil is when the upstream may be tried again.
	shunnedUntil time.Time
	// misses counts failures to reach the upstream in a row, broken the
	// connections that broke in a row.
	misses, broken int
	// observed is the time in milliseconds that prompts lately waited before they
	// were read, as of observedAt.
	observed   float64
	observedAt time.Time
	// took is the time in milliseconds that whole answers of a plain service lately
	// took, as of tookAt.
	took   float64
	tookAt time.Time
	// failures is the share of answers that were failures, as of decayed.
	failures float64
}

func newTarget(u *route.Upstream) *target {
	return &target{upstream: u, key: KeyOf(u.ID), waiting: map[*Lease]struct{}{}}
}

// load returns all that is known to run on the upstream.
func (t *target) load() work {
	w := t.own
	w.add(t.near)
	w.add(t.far)
	return w
}

// full says whether the callers of the upstream, this host and the others, have
// as many requests there as it takes connections.
func (t *target) full(s *route.Service) bool {
	load := t.load()
	return s.MaxConnections > 0 && load.running() >= s.MaxConnections
}

// decay brings own.arriving and failures up to date.
func (t *target) decay(now time.Time) {
	age := max(0, now.Sub(t.decayed).Seconds())
	t.own.arriving *= math.Exp(-age / arriveSpan.Seconds())
	t.failures = t.failing(now)
	t.decayed = now
}

const (
	// tookWeight is the weight of one answer in the time that answers take.
	tookWeight = 0.2
	// slowFactor times the median of a service is the time from which one of its
	// upstreams counts as slow.
	slowFactor = 2.0
)

// answered takes up how long a whole answer of a plain service took.
func (t *target) answered(now time.Time, span time.Duration) {
	ms := float64(span) / float64(time.Millisecond)
	if t.took == 0 {
		t.took = ms
	}
	t.took += tookWeight * (ms - t.took)
	t.tookAt = now
}

// slowness returns by how many milliseconds answers take too long, against the
// median of the service. It fades, so that a slow upstream is tried again.
func (t *target) slowness(now time.Time, median float64) float64 {
	excess := max(0, t.took-slowFactor*median)
	if excess == 0 {
		return 0
	}
	return excess * math.Exp(-max(0, now.Sub(t.tookAt).Seconds())/failureLife.Seconds())
}

const (
	// observedWeight is the weight of one wait in the observed one.
	observedWeight = 0.3
	// observedLife is how long an observed wait counts: an engine reads what it
	// has in about that time.
	observedLife = 700 * time.Millisecond
)

// observe takes up how long a prompt waited before it was read.
func (t *target) observe(now time.Time, wait float64) {
	before := t.waited(now)
	t.observed = before + observedWeight*(max(0, wait)-before)
	t.observedAt = now
}

// waited returns the observed wait as it counts now.
func (t *target) waited(now time.Time) float64 {
	if t.observed < 1 {
		return 0
	}
	return t.observed * math.Exp(-max(0, now.Sub(t.observedAt).Seconds())/observedLife.Seconds())
}

// failing returns the failure rate as it counts now.
func (t *target) failing(now time.Time) float64 {
	if t.failures < failureLeast {
		return 0
	}
	rate := t.failures * math.Exp(-max(0, now.Sub(t.decayed).Seconds())/failureLife.Seconds())
	if rate < failureLeast {
		return 0
	}
	return rate
}

func (t *target) take(l *Lease) {
	t.decay(l.AcquiredAt)
	t.own.arriving += float64(l.UncachedTokens) / arriveSpan.Seconds()
	t.waiting[l] = struct{}{}
	t.own.pending += l.UncachedTokens
	t.own.count(l.Class, 1)
}

func (w *work) count(c Class, n int) {
	switch c {
	case ClassPlain:
		w.plain += n
	case ClassShort:
		w.short += n
	case ClassLong:
		w.long += n
	}
}

// start notes that the upstream has read the prompt.
func (l *Lease) start() {
	if l.started {
		return
	}
	l.started = true
	delete(l.target.waiting, l)
	l.target.own.pending -= l.UncachedTokens
}

func (t *target) give(now time.Time, l *Lease, r Result) {
	l.start()
	t.decay(now)
	t.own.count(l.Class, -1)
	switch r {
	case Done:
		t.misses, t.broken, t.shunnedUntil = 0, 0, time.Time{}
		t.failures -= failureWeight * t.failures
	case Failed, Refused:
		t.misses, t.broken = 0, 0
		t.failures += failureWeight * (1 - t.failures)
	case Misdirected:
		t.misdirected = true
	case Unreachable:
		t.shun(now)
	case Broken:
		t.failures += failureWeight * (1 - t.failures)
		t.broken++
		if t.broken >= brokenMost {
			t.shun(now)
		}
	case Abandoned:
	}
}

// shun leaves the upstream alone for a while.
func (t *target) shun(now time.Time) {
	span := min(shunMost, shunFirst<<min(t.misses, 3))
	t.misses++
	t.shunnedUntil = now.Add(span)
}

// trialTime is how long an upstream that was left alone is tried with repeatable
// requests alone. Afterwards any will do, in case there are no repeatable ones.
const trialTime = 1500 * time.Millisecond

// onTrial says whether the upstream was left alone lately and has not answered
// since.
func (t *target) onTrial(now time.Time) bool {
	return t.misses > 0 && now.Sub(t.shunnedUntil) < trialTime
}

// oldestWait returns how long the oldest of this host's requests has waited for
// its first event.
func (t *target) oldestWait(now time.Time) time.Duration {
	oldest := now
	for l := range t.waiting {
		if l.AcquiredAt.Before(oldest) {
			oldest = l.AcquiredAt
		}
	}
	return now.Sub(oldest)
}
