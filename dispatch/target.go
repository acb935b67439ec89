package dispatch

import (
	"math"
	"time"

	"mulberrydyke/plan"
	"mulberrydyke/route"
)

const (
	// baseEjectionTime is how long an upstream is ejected the first time. Each
	// further ejection before it has responded doubles the time, up to
	// maxEjectionTime.
	baseEjectionTime = 500 * time.Millisecond
	maxEjectionTime  = 4 * time.Second
	// maxBrokenConnections is the number of consecutive lost connections after
	// which an upstream is ejected.
	maxBrokenConnections = 2
	// arrivalWindow is the time constant of the average rate of arriving prompt
	// tokens.
	arrivalWindow = 1500 * time.Millisecond
	// failureWeight is the weight of one response in the failure rate.
	failureWeight = 0.08
	// failureDecayTime is the time constant with which the failure rate decays.
	// Without the decay, an upstream that is avoided because of its failures could
	// never show that it has recovered.
	failureDecayTime = 3 * time.Second
	// minFailureRate is the failure rate below which an upstream counts as
	// healthy.
	minFailureRate = 0.02
)

// loadCounts counts the requests and prompt tokens on one upstream.
type loadCounts struct {
	short, long int
	plain       int
	// pendingTokens counts the prompt tokens that are not prefilled yet.
	pendingTokens int
	// arrivalRate is the rate of prompt tokens sent to the upstream in tokens per
	// second, averaged over arrivalWindow.
	arrivalRate float64
	// waiting counts the requests without a first event, and overdueMs is the sum of the times
	// in milliseconds by which they have waited longer than their own prefill takes.
	waiting   int
	overdueMs float64
}

func (l *loadCounts) add(o loadCounts) {
	l.arrivalRate += o.arrivalRate
	l.short += o.short
	l.long += o.long
	l.plain += o.plain
	l.pendingTokens += o.pendingTokens
	l.waiting += o.waiting
	l.overdueMs += o.overdueMs
}

// scale returns the counts multiplied by n.
func (l loadCounts) scale(n int) loadCounts {
	return loadCounts{
		short: n * l.short, long: n * l.long, plain: n * l.plain, pendingTokens: n * l.pendingTokens, arrivalRate: float64(n) * l.arrivalRate,
		waiting: n * l.waiting, overdueMs: float64(n) * l.overdueMs,
	}
}

// running returns the number of requests.
func (l *loadCounts) running() int { return l.short + l.long + l.plain }

// target holds the load and the measurements of one upstream.
type target struct {
	upstream *route.Upstream
	key      UpstreamKey
	// usable is set if the target takes part in the partition of its group, and
	// servesLong if the partition assigns it to long prompts.
	usable, servesLong bool
	// localLoad is the load of this host, groupLoad that of the other hosts of its
	// group, domainLoad that of the other groups of its domain, and remoteLoad that
	// of the other domains, as last reported. Where a speaker reports the other
	// groups and domains together, remoteLoad holds both.
	localLoad, groupLoad, domainLoad, remoteLoad loadCounts
	// groupVotes is the number of other hosts of the group that have ejected the
	// upstream because they could not reach it, domainVotes that of the hosts of
	// the other groups of the domain.
	groupVotes, domainVotes int
	// speedSums holds this host's measurements of speed. groupSpeed, domainSpeed and
	// remoteSpeed hold those of other hosts, as last reported.
	speedSums                            speedSums
	groupSpeed, domainSpeed, remoteSpeed reportedSums
	learned                              learned
	// listedAt is when the process of the upstream was first listed.
	listedAt time.Time
	// plainSends is the decayed number of plain requests that this host sent.
	plainSends float64
	// decayedAt is the time that localLoad.arrivalRate and failureAverage are
	// valid for.
	decayedAt time.Time
	// awaitingFirstEvent holds this host's leases that have had no event yet.
	awaitingFirstEvent map[*Lease]struct{}
	// misdirected is set when another upstream has taken over the address. It is
	// cleared when the platform lists the upstream anew.
	misdirected bool
	// ejectedUntil is when the upstream may be used again.
	ejectedUntil time.Time
	// consecutiveEjections counts the ejections since the upstream last responded,
	// and brokenConnections the connections lost since then.
	consecutiveEjections, brokenConnections int
	// observedWait is the recent time in milliseconds that prompts waited before
	// their prefill, as of observedAt.
	observedWait float64
	observedAt   time.Time
	// latency is the recent response time of the upstream in milliseconds, as of
	// latencyAt. It is measured only for plain services.
	latency   float64
	latencyAt time.Time
	// failureAverage is the share of responses that were failures, as of decayedAt.
	failureAverage float64
}

// newTarget returns a target without load or measurements.
func newTarget(now time.Time, u *route.Upstream) *target {
	return &target{upstream: u, listedAt: now, key: KeyOf(u.ID), awaitingFirstEvent: map[*Lease]struct{}{}}
}

// totalLoad returns the load from all hosts, as far as it is known.
func (t *target) totalLoad() loadCounts {
	total := t.localLoad
	total.add(t.groupLoad)
	total.add(t.domainLoad)
	total.add(t.remoteLoad)
	return total
}

// atCapacity reports whether all hosts together have as many requests on the
// upstream as it accepts connections.
func (t *target) atCapacity(s *route.Service) bool {
	total := t.totalLoad()
	return s.MaxConnections > 0 && total.running() >= s.MaxConnections
}

// decay brings localLoad.arrivalRate and failureAverage up to date.
func (t *target) decay(now time.Time) {
	age := max(0, now.Sub(t.decayedAt).Seconds())
	t.localLoad.arrivalRate *= math.Exp(-age / arrivalWindow.Seconds())
	t.failureAverage = t.failureRate(now)
	t.decayedAt = now
}

const (
	// latencyWeight is the weight of one response in the average response time.
	latencyWeight = 0.2
	// slowFactor times the median response time of a service is the time above
	// which one of its upstreams counts as slow.
	slowFactor = 2.0
)

// recordLatency records a response time of an upstream of a plain service.
func (t *target) recordLatency(now time.Time, elapsed time.Duration) {
	ms := float64(elapsed) / float64(time.Millisecond)
	if t.latency == 0 {
		t.latency = ms
	}
	t.latency += latencyWeight * (ms - t.latency)
	t.latencyAt = now
}

// excessLatency returns by how many milliseconds responses are slower than
// slowFactor times the median of the service. It decays with time, so that a slow
// upstream is tried again.
func (t *target) excessLatency(now time.Time, median float64) float64 {
	excess := max(0, t.latency-slowFactor*median)
	if excess == 0 {
		return 0
	}
	return excess * math.Exp(-max(0, now.Sub(t.latencyAt).Seconds())/failureDecayTime.Seconds())
}

const (
	// waitWeight is the weight of one wait in observedWait.
	waitWeight = 0.3
	// waitDecayTime is the time constant with which an observed wait decays. An
	// engine prefills its queue in about that time.
	waitDecayTime = 700 * time.Millisecond
)

// recordWait records how many milliseconds a prompt waited before its prefill.
func (t *target) recordWait(now time.Time, wait float64) {
	previous := t.currentWait(now)
	t.observedWait = previous + waitWeight*(max(0, wait)-previous)
	t.observedAt = now
}

// currentWait returns the observed wait, decayed to the present.
func (t *target) currentWait(now time.Time) float64 {
	if t.observedWait < 1 {
		return 0
	}
	return t.observedWait * math.Exp(-max(0, now.Sub(t.observedAt).Seconds())/waitDecayTime.Seconds())
}

// failureRate returns the failure rate, decayed to the present.
func (t *target) failureRate(now time.Time) float64 {
	if t.failureAverage < minFailureRate {
		return 0
	}
	rate := t.failureAverage * math.Exp(-max(0, now.Sub(t.decayedAt).Seconds())/failureDecayTime.Seconds())
	if rate < minFailureRate {
		return 0
	}
	return rate
}

// acquire adds a new lease to the load of this host.
func (t *target) acquire(l *Lease) {
	t.decay(l.AcquiredAt)
	t.localLoad.arrivalRate += float64(l.UncachedTokens) / arrivalWindow.Seconds()
	t.awaitingFirstEvent[l] = struct{}{}
	t.localLoad.pendingTokens += l.UncachedTokens
	t.localLoad.addClass(l.Class, 1)
	if l.Class == ClassPlain {
		t.plainSends++
	}
}

// addClass adds n requests of a class.
func (l *loadCounts) addClass(c Class, n int) {
	switch c {
	case ClassPlain:
		l.plain += n
	case ClassShort:
		l.short += n
	case ClassLong:
		l.long += n
	}
}

// markStarted records that the upstream has prefilled the prompt.
func (l *Lease) markStarted() {
	if l.started {
		return
	}
	l.started = true
	delete(l.target.awaitingFirstEvent, l)
	l.target.localLoad.pendingTokens -= l.UncachedTokens
}

// release removes a lease from the load and updates the failure state from its
// result.
func (t *target) release(now time.Time, l *Lease, r Result) {
	l.markStarted()
	t.decay(now)
	t.localLoad.addClass(l.Class, -1)
	switch r {
	case Done:
		t.consecutiveEjections, t.brokenConnections, t.ejectedUntil = 0, 0, time.Time{}
		t.failureAverage -= failureWeight * t.failureAverage
	case Failed, Refused:
		t.consecutiveEjections, t.brokenConnections = 0, 0
		t.failureAverage += failureWeight * (1 - t.failureAverage)
	case Misdirected:
		t.misdirected = true
	case Unreachable:
		t.eject(now)
	case Broken:
		t.failureAverage += failureWeight * (1 - t.failureAverage)
		t.brokenConnections++
		if t.brokenConnections >= maxBrokenConnections {
			t.eject(now)
		}
	case Unsent:
		t.localLoad.arrivalRate = max(0, t.localLoad.arrivalRate-float64(l.UncachedTokens)/arrivalWindow.Seconds())
	case Abandoned:
	}
}

// eject excludes the upstream for a while, longer after each consecutive ejection.
func (t *target) eject(now time.Time) {
	duration := min(maxEjectionTime, baseEjectionTime<<min(t.consecutiveEjections, 3))
	t.consecutiveEjections++
	t.ejectedUntil = now.Add(duration)
}

// EjectedUntil returns until when this host has ejected an upstream that it could not reach. It
// is in the past or zero if it has not.
func (b *Balancer) EjectedUntil(id plan.UpstreamID) time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	if t := b.targets[id]; t != nil {
		return t.ejectedUntil
	}
	return time.Time{}
}

// probationTime is how long, after its ejection, an upstream gets only retryable
// requests. Afterwards it gets any request, in case there are no retryable ones.
const probationTime = 1500 * time.Millisecond

// onProbation reports whether the upstream was ejected recently and has not
// responded since.
func (t *target) onProbation(now time.Time) bool {
	return t.consecutiveEjections > 0 && now.Sub(t.ejectedUntil) < probationTime
}

// oldestWait returns the time that the oldest of this host's requests on the
// upstream has waited for its first event.
func (t *target) oldestWait(now time.Time) time.Duration {
	oldest := now
	for l := range t.awaitingFirstEvent {
		if l.AcquiredAt.Before(oldest) {
			oldest = l.AcquiredAt
		}
	}
	return now.Sub(oldest)
}
