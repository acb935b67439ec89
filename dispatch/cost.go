package dispatch

import (
	"time"

	"mulberrydyke/call"
	"mulberrydyke/route"
)

// The cost of an upstream is the time in milliseconds until the first event, and
// terms in the same unit for what else speaks against it.
const (
	// slotCost is what each running request adds to a step, over the steps
	// until the first event.
	slotCost = 0.5
	// plainCost is what one running request of a plain service costs, relative
	// to the service's slots.
	plainCost = 60.0
	// otherDomainCost is for the longer way and the price of the bytes.
	otherDomainCost = 12.0
	// silentDomainCost is for an upstream of a domain whose hosts are not heard:
	// the domain may be cut off, or just its hosts may be gone.
	silentDomainCost = 300.0
	// intrudeShort is for a short prompt among long ones: long prompts hold up
	// its tokens.
	intrudeShort = 120.0
	// intrudeLong is for a long prompt among short ones, whose tokens it holds
	// up; intrudePerShort is for each of them, for each longPrompt tokens to read.
	intrudeLong     = 150.0
	intrudePerShort = 40.0
	// failureCost is for an upstream that fails all requests.
	failureCost = 1500.0
	// shunnedCost is for an upstream that could not be reached, for each second
	// that it is left alone yet.
	shunnedCost = 1000.0
	// stallAfter is the wait for a first event beyond which an upstream is
	// suspected to answer nobody, beside what its load explains.
	stallAfter = 350 * time.Millisecond
	// stallFactor is the cost of a millisecond of such a wait.
	stallFactor = 2.0
)

// Costs of reading shared parts of a prompt that another engine holds, for each
// token. Reading them again takes the time of everybody's requests there.
const (
	rereadCost = 0.12
	// secondCost applies to the subject's second home, so that subjects that
	// overflow do so to the same engine from all hosts.
	secondCost = 0.08
)

// strayCost is for an engine that is no home of the subject: under overload,
// reading parts again everywhere makes all late.
const strayCost = 1000.0

// Costs of being late.
const (
	// lateFrom is the part of the target that the expected first event may take.
	lateFrom = 0.9
	// lateFactor is the cost of a millisecond beyond it.
	lateFactor = 2.0
)

// reread returns the cost of the shared parts that an engine has to read.
func reread(missing, rank int, p *call.Prompt) float64 {
	again := float64(max(0, missing-p.UnsharedTokens()))
	if rank == 1 {
		return again * secondCost
	}
	return again * rereadCost
}

// late returns the cost of an expected first event, in milliseconds, that comes
// after the target or shortly before it.
func late(expected float64, target time.Duration) float64 {
	if target <= 0 {
		return 0
	}
	return lateFactor * max(0, expected-lateFrom*float64(target)/float64(time.Millisecond))
}

// missing returns how many tokens of the prompt the engine has to read. The
// engine that is the subject's home counts as having the shared parts.
func (c *Balancer) missing(now time.Time, t *target, rank int, p *call.Prompt) int {
	if len(p.Parts) < 2 {
		return p.Tokens
	}
	if rank == 0 {
		return p.UnsharedTokens()
	}
	return c.cache.missing(now, t.upstream.ID, p)
}

// decision is what the costs of all targets for one request have in common.
type decision struct {
	now   time.Time
	class Class
	query *Query
	// floor is the failure rate that is normal for the service.
	floor float64
	// speed and delay are the pace of the service's engines.
	speed, delay float64
	// took is the median of the times in milliseconds that answers of a plain
	// service take.
	took float64
}

// cost returns the cost of running a request on a target. Rank is the target's
// place among the subject's homes, or negative.
func (c *Balancer) cost(d *decision, t *target, missing, rank int) float64 {
	load := t.load()
	cost := failureCost * max(0, t.failing(d.now)-d.floor)
	if t.upstream.Domain != c.domain {
		cost += otherDomainCost
		if c.silent(d.now, t.upstream.Domain) {
			cost += silentDomainCost
		}
	}
	stall := t.oldestWait(d.now) - stallAfter
	if d.class == ClassPlain {
		cost += plainCost*float64(load.plain)/float64(max(1, t.upstream.Slots)) + t.slowness(d.now, d.took)
	} else {
		queue := t.queue(d.now, d.speed)
		stall -= time.Duration(queue * 2 * float64(time.Millisecond))
		cost += engineCost(d, t, &load, queue, missing, rank)
	}
	if stall > 0 {
		cost += stallFactor * float64(stall) / float64(time.Millisecond)
	}
	return cost
}

// engineCost returns the part of the cost that only engines have. Queue is the
// time in milliseconds until the prompts before it are read.
func engineCost(d *decision, t *target, load *work, queue float64, missing, rank int) float64 {
	expected := d.delay + queue + float64(missing)/d.speed + slotCost*float64(load.running())
	cost := expected + late(expected, d.query.LatencyTarget) + reread(missing, rank, d.query.Prompt)
	if d.class == ClassLong && rank < 0 {
		cost += strayCost
	}
	return cost + overflow(load.running(), t.upstream.Slots) + intrusion(t, d.class, *load, missing)
}

// Costs of prompts that other hosts have sent. Their numbers are some hundred
// milliseconds old, longer than a prompt takes to be read, so the expected wait
// is that of a queue with their rate of arrival.
const (
	// meanRead is the time to read a prompt, its spread included.
	meanRead = 60.0
	// usedMost bounds the part of an engine's time that counts as used.
	usedMost = 0.95
)

// queue returns the expected time in milliseconds until an engine has read the
// prompts that it has, at a speed in tokens a millisecond: what the prompts
// explain that are known, or what was observed where that is more.
func (t *target) queue(now time.Time, speed float64) float64 {
	others := min(usedMost, (t.near.arriving+t.far.arriving)/(speed*1000))
	return max(float64(t.own.pending)/speed+meanRead*others/(1-others), t.waited(now))
}

// overflowCost is for each request beyond the slots: it waits for a whole other
// request to end.
const overflowCost = 40.0

// overflow returns the cost of an engine whose slots are nearly taken.
func overflow(running, slots int) float64 {
	if slots <= 0 {
		return 0
	}
	return overflowCost * float64(max(0, running-slots*9/10))
}

// intrusion returns the cost of running a class on an engine that is meant for
// the other.
func intrusion(t *target, class Class, load work, missing int) float64 {
	switch {
	case class == ClassShort && t.forLong:
		return intrudeShort
	case class == ClassLong && !t.forLong:
		return intrudeLong + intrudePerShort*float64(load.short)*float64(missing)/longPrompt
	}
	return 0
}

// Ranks that an engine's scale of ten can tell apart.
const (
	ranksMost = 3
	rankLast  = 9
)

// Urgency returns the rank that an engine is given for a request, from 0, the
// most urgent, to 9. The account's priority decides, or the route's where the
// account has none; the route's priority orders requests of equal accounts.
func Urgency(r *route.Route, a *route.Account) int {
	first := r.Priority
	if a != nil && a.HasPriority {
		first = a.Priority
	}
	if first >= ranksMost {
		return rankLast
	}
	return max(0, first)*ranksMost + min(max(0, r.Priority), ranksMost-1)
}
