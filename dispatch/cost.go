package dispatch

import (
	"time"

	"mulberrydyke/call"
	"mulberrydyke/route"
)

// The cost of an upstream is the expected time in milliseconds until the first
// event, plus penalties in the same unit.
const (
	// runningRequestCost is the time in milliseconds that each running request
	// adds to the engine steps until the first event.
	runningRequestCost = 0.5
	// plainLoadCost, divided by the number of slots of the upstream, is the cost of
	// each running request of a plain service.
	plainLoadCost = 60.0
	// remoteDomainCost is the penalty for an upstream in another failure domain:
	// the network latency is higher and the traffic is paid for.
	remoteDomainCost = 12.0
	// silentDomainCost is the penalty for an upstream in a domain whose hosts have
	// stopped reporting. Either the whole domain is cut off or only its hosts are
	// gone.
	silentDomainCost = 300.0
	// shortMismatchCost is the penalty for running a short prompt on an engine for
	// long prompts. The prefill of long prompts delays the tokens of the short one.
	shortMismatchCost = 120.0
	// longMismatchCost is the penalty for running a long prompt on an engine for
	// short prompts. The prefill of the long prompt delays the tokens of the short
	// ones, so longMismatchPerRequestCost is added for each short request that runs
	// there, per longPromptTokens tokens of the prefill.
	longMismatchCost           = 150.0
	longMismatchPerRequestCost = 40.0
	// failureRateCost is the penalty for an upstream that fails every request; it
	// scales with the failure rate.
	failureRateCost = 1500.0
	// ejectionCostPerSecond is the penalty for an upstream that could not be
	// reached, for each second of its ejection that is left.
	ejectionCostPerSecond = 1000.0
	// stallThreshold is the wait for a first event, beyond what the load explains,
	// from which an upstream is suspected of not responding.
	stallThreshold = 350 * time.Millisecond
	// stallCostFactor is the cost of each millisecond above stallThreshold.
	stallCostFactor = 2.0
)

// Costs per token of prefilling shared prompt parts that another engine has in
// its cache. The repeated prefill delays all requests on the engine.
const (
	// prefixMissTokenCost applies to every engine but the first two preferred
	// ones.
	prefixMissTokenCost = 0.12
	// secondaryMissTokenCost applies to the second preferred engine of a prefix.
	// It is lower, so that all hosts send the overflow of a prefix to the same
	// engine.
	secondaryMissTokenCost = 0.08
)

// nonPreferredCost is the penalty for a long prompt on an engine that is not a
// preferred one for its prefix. Under overload, prefilling the shared parts on
// every engine makes all requests late.
const nonPreferredCost = 1000.0

// Penalties for missing the latency target.
const (
	// latenessStartFraction is the share of the latency target from which the
	// penalty starts.
	latenessStartFraction = 0.9
	// latenessCostFactor is the cost of each millisecond above that share.
	latenessCostFactor = 2.0
)

// prefixMissCost returns the cost of prefilling the shared parts that are not in
// an engine's cache.
func prefixMissCost(uncached, rank int, p *call.Prompt) float64 {
	recomputed := float64(max(0, uncached-p.UnsharedTokens()))
	if rank == 1 {
		return recomputed * secondaryMissTokenCost
	}
	return recomputed * prefixMissTokenCost
}

// latenessCost returns the penalty for a first event that is expected to miss the
// latency target or to come shortly before it. expectedMs is the expected time to
// the first event in milliseconds.
func latenessCost(expectedMs float64, latencyTarget time.Duration) float64 {
	if latencyTarget <= 0 {
		return 0
	}
	return latenessCostFactor * max(0, expectedMs-latenessStartFraction*float64(latencyTarget)/float64(time.Millisecond))
}

// uncachedTokens returns how many tokens of the prompt the engine has to prefill.
// The first preferred engine of the prompt's prefix, which has rank 0, is assumed
// to have all shared parts in its cache.
func (b *Balancer) uncachedTokens(now time.Time, t *target, rank int, p *call.Prompt) int {
	if len(p.Parts) < 2 {
		return p.Tokens
	}
	if rank == 0 {
		return p.UnsharedTokens()
	}
	return b.prefixes.uncachedTokens(now, t.upstream.ID, p)
}

// costInput holds the inputs of the cost function that are the same for all
// targets of one request.
type costInput struct {
	now   time.Time
	class Class
	query *Query
	// group holds the upstreams of the service.
	group *targetGroup
	// failureFloor is the failure rate that is normal for the service.
	failureFloor float64
	// prefillSpeed and baseLatency are the measured prefill timing of the
	// service's engines, in tokens per millisecond and milliseconds.
	prefillSpeed, baseLatency float64
	// medianLatency is the median response time of a plain service, in
	// milliseconds.
	medianLatency float64
}

// cost returns the cost of running a request on a target. The rank is the
// target's index among the preferred engines of the prompt's prefix, or negative
// if it is not one of them.
func (b *Balancer) cost(in *costInput, t *target, uncached, rank int) float64 {
	total := t.totalLoad()
	cost := failureRateCost * max(0, t.failureRate(in.now)-in.failureFloor)
	if t.upstream.Domain != b.domain {
		cost += remoteDomainCost
		if b.silent(in.now, t.upstream.Domain) {
			cost += silentDomainCost
		}
	}
	stall := t.oldestWait(in.now) - stallThreshold
	if in.class == ClassPlain {
		cost += plainLoadCost*float64(total.plain)/float64(max(1, t.upstream.Slots)) + t.excessLatency(in.now, in.medianLatency)
	} else {
		queueWait := t.queueWait(in.now, in.prefillSpeed)
		stall -= time.Duration(queueWait * 2 * float64(time.Millisecond))
		cost += engineCost(in, t, &total, queueWait, uncached, rank)
	}
	if stall > 0 {
		cost += stallCostFactor * float64(stall) / float64(time.Millisecond)
	}
	return cost
}

// engineCost returns the part of the cost that applies only to inference engines.
// The queueWait is the time in milliseconds until the queued prompts are
// prefilled.
func engineCost(in *costInput, t *target, total *loadCounts, queueWait float64, uncached, rank int) float64 {
	speed := t.relativeSpeed()
	expectedMs := in.baseLatency/speed + queueWait + float64(uncached)/t.targetSpeed(in.prefillSpeed) + runningRequestCost*float64(total.running())/speed
	cost := expectedMs + gapCost(in, t) + latenessCost(expectedMs, in.query.LatencyTarget) + prefixMissCost(uncached, rank, in.query.Prompt)
	if in.class == ClassLong && rank < 0 {
		cost += nonPreferredCost
	}
	return cost + slotOverflowCost(total.running(), t) + classMismatchCost(t, in.class, *total, uncached)
}

// Prefill load from other hosts. Their counts are some hundred milliseconds old,
// which is longer than a prefill takes, so the expected wait is that of a queue
// with the reported arrival rate.
const (
	// meanPrefillMs is the mean time in milliseconds to prefill a prompt, allowing
	// for its variance.
	meanPrefillMs = 60.0
	// maxUtilization caps the estimated utilization of an engine, which keeps the
	// wait finite.
	maxUtilization = 0.95
)

// queueWait returns the expected time in milliseconds until an engine has
// prefilled its queued prompts. The speed is that of an engine of mean speed, in
// tokens per millisecond. The wait is estimated from the load. If the observed wait
// is longer, that is returned instead.
func (t *target) queueWait(now time.Time, speed float64) float64 {
	return max(t.estimatedWait(speed), t.currentWait(now))
}

// estimatedWait returns the wait in milliseconds that follows from the pending tokens
// of this host and the arrival rates that other hosts report. The speed is that of an
// engine of mean speed.
func (t *target) estimatedWait(speed float64) float64 {
	speed = t.targetSpeed(speed)
	utilization := min(maxUtilization, (t.groupLoad.arrivalRate+t.domainLoad.arrivalRate+t.remoteLoad.arrivalRate)/(speed*1000))
	return float64(t.localLoad.pendingTokens)/speed + meanPrefillMs/t.relativeSpeed()*utilization/(1-utilization)
}

// overflowRequestCost is the penalty for each request above the number up to which
// the engine is not slowed down. A request beyond the slots has to wait until another one ends.
const overflowRequestCost = 40.0

// slotOverflowCost returns the penalty for an engine with more requests than it is
// known to run without slowing down, which is nine tenths of its slots at most.
func slotOverflowCost(running int, t *target) float64 {
	if t.upstream.Slots <= 0 {
		return 0
	}
	return overflowRequestCost * float64(max(0, running-t.loadLimit()))
}

// Penalties for gaps between events.
const (
	// gapStartFraction is the share of the gap target from which the penalty for the
	// expected mean gap starts. The longest gap of a stream is well above the mean.
	gapStartFraction = 0.6
	// gapCostFactor is the cost of each millisecond above that share, and maxGapCost
	// the highest penalty.
	gapCostFactor = 5.0
	maxGapCost    = 200.0
)

// gapCost returns by how much more the gaps between events cost at an engine than they
// would at one of mean speed under the same load.
func gapCost(in *costInput, t *target) float64 {
	speed := t.relativeSpeed()
	if speed == 1 || in.query.GapTarget <= 0 {
		return 0
	}
	gap := in.group.expectedGap(in.now, t)
	start := gapStartFraction * float64(in.query.GapTarget) / float64(time.Millisecond)
	excess := max(0, gap/speed-start) - max(0, gap-start)
	return min(maxGapCost, max(-maxGapCost, gapCostFactor*excess))
}

// classMismatchCost returns the penalty for running a request of one class on an
// engine that serves the other.
func classMismatchCost(t *target, class Class, total loadCounts, uncached int) float64 {
	switch {
	case class == ClassShort && t.servesLong:
		return shortMismatchCost
	case class == ClassLong && !t.servesLong:
		return longMismatchCost + longMismatchPerRequestCost*float64(total.short)*float64(uncached)/longPromptTokens
	}
	return 0
}

// An engine distinguishes ten levels of urgency. Three levels of priority for an
// account times three for a route give the urgencies 0 to 8; any lower priority of
// an account gets lowestUrgency. An account without a priority counts with that of
// the route.
const (
	priorityLevels = 3
	lowestUrgency  = 9
)

// Urgency returns the urgency that an engine is given for a request, from 0 (most
// urgent) to 9. The account's priority comes first, or the route's if the account
// has none; the route's priority orders requests of accounts with equal priority.
func Urgency(r *route.Route, a *route.Account) int {
	priority := r.Priority
	if a != nil && a.HasPriority {
		priority = a.Priority
	}
	if priority >= priorityLevels {
		return lowestUrgency
	}
	return max(0, priority)*priorityLevels + min(max(0, r.Priority), priorityLevels-1)
}
