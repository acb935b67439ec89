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
	// disturbCost is for each request whose next event is expected to be late.
	disturbCost = 30.0
	// stepTime and stepSlotTime are an engine's time for one token of all its
	// requests.
	stepTime     = 4.0
	stepSlotTime = 0.11
	// failureCost is for an upstream that fails all requests.
	failureCost = 1500.0
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

// Costs of being late.
const (
	// lateFrom is the part of the target that the expected first event may take.
	lateFrom = 0.9
	// lateFactor is the cost of a millisecond beyond it.
	lateFactor = 2.0
)

// reread returns the cost of the shared parts that an engine has to read.
func reread(missing int, second bool, p *call.Prompt) float64 {
	again := float64(max(0, missing-p.Own()))
	if second {
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
func (c *Core) missing(now time.Time, t *target, home bool, p *call.Prompt) int {
	if len(p.Parts) < 2 {
		return p.Tokens
	}
	if home {
		return p.Own()
	}
	return c.cache.missing(now, t.upstream.ID, p)
}

// cost returns the cost of running a request on a target of a group.
func (c *Core) cost(now time.Time, g *group, t *target, class Class, missing int, second bool, q *Query) float64 {
	load := t.load()
	cost := failureCost * max(0, t.failures-g.failureFloor())
	if t.upstream.Domain != c.domain {
		cost += otherDomainCost
		if c.silent(now, t.upstream.Domain) {
			cost += silentDomainCost
		}
	}
	stall := t.oldestWait(now) - stallAfter
	if class == Plain {
		cost += plainCost * float64(load.plain) / float64(max(1, t.upstream.Slots))
	} else {
		rate, delay := g.pace()
		queue := float64(load.pending) / rate
		stall -= time.Duration(queue * 2 * float64(time.Millisecond))
		expected := delay + queue + float64(missing)/rate + slotCost*float64(load.running())
		cost += expected + late(expected, q.Target) + reread(missing, second, q.Prompt)
		cost += g.overflow(load.running(), t.upstream.Slots)
		cost += intrusion(t, class, load, missing)
	}
	if stall > 0 {
		cost += stallFactor * float64(stall) / float64(time.Millisecond)
	}
	return cost
}

// overflowCost is for each request beyond the slots: it waits for a whole other
// request to end.
const overflowCost = 40.0

// overflow returns the cost of an engine whose slots are nearly taken.
func (g *group) overflow(running, slots int) float64 {
	if slots <= 0 {
		return 0
	}
	return overflowCost * float64(max(0, running-slots*9/10))
}

// disturbance returns the cost of tokens that come late to the requests that run
// on an engine, because it has more prompt to read than fits between two of
// their events.
func (g *group) disturbance(load work, missing int, rate float64) float64 {
	reading := float64(load.pending+missing) / rate
	step := stepTime + stepSlotTime*float64(load.running())
	cost := 0.0
	for class, running := range map[Class]int{Short: load.short, Long: load.long} {
		gap := float64(g.gaps[class]) / float64(time.Millisecond)
		if gap <= 0 || running == 0 {
			continue
		}
		room := max(gap*0.2, gap-step*float64(g.eventTokens))
		over := min(1, max(0, reading-0.6*room)/room)
		cost += disturbCost * float64(running) * over
	}
	return cost
}

// intrusion returns the cost of running a class on an engine that is meant for
// the other.
func intrusion(t *target, class Class, load work, missing int) float64 {
	switch {
	case class == Short && t.forLong:
		return intrudeShort
	case class == Long && !t.forLong:
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
