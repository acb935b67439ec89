package load

import (
	"context"
	"sync"
	"time"

	"mulberrydyke/plan"
)

// BaselinePolicy is a simple load-balancing policy that the router is compared with.
type BaselinePolicy string

// Baseline policies. Both keep one queue in the order of arrival and send at most as
// many concurrent requests to an engine as it has slots.
const (
	RoundRobin       BaselinePolicy = "round-robin"
	LeastOutstanding BaselinePolicy = "least-outstanding"
)

// Baseline sends requests directly to engines, chosen by a simple policy.
type Baseline struct {
	policy BaselinePolicy
	client *Client

	// mu guards the fields below.
	mu        sync.Mutex
	engines   []*baselineEngine
	nextIndex int
	waiters   []chan *baselineEngine
}

// baselineEngine is an engine with the number of requests that it is running.
type baselineEngine struct {
	address string
	slots   int
	running int
}

// NewBaseline returns a baseline over the engines among upstreams and its cleanup
// function.
func NewBaseline(policy BaselinePolicy, upstreams *plan.Upstreams) (*Baseline, func()) {
	client, cleanup := NewClient()
	b := &Baseline{policy: policy, client: client}
	for _, u := range upstreams.Upstreams {
		if u.Kind == plan.Engine {
			b.engines = append(b.engines, &baselineEngine{address: u.Address, slots: u.Slots})
		}
	}
	return b, cleanup
}

// Send waits for a free engine slot in the order of arrival and sends the request.
// The wait counts towards the measured latencies.
func (b *Baseline) Send(ctx context.Context, model plan.ModelID, a Arrival) Result {
	started := time.Now()
	engine := b.acquire(ctx)
	if engine == nil {
		return Result{Class: a.Class.ID, Tier: a.Class.Tier, Offset: a.Offset, Code: "not served"}
	}
	defer b.release(engine)
	waited := time.Since(started)
	result := b.client.Send(ctx, engine.address, model, a)
	result.FirstToken += waited
	result.Total += waited
	result.MetTarget = result.Code == "" && result.FirstToken <= a.Class.Target.FirstToken.Std() &&
		result.BetweenTokens <= a.Class.Target.BetweenTokens.Std()
	return result
}

// acquire returns an engine with a slot reserved for the request, or nil if ctx
// ends first.
func (b *Baseline) acquire(ctx context.Context) *baselineEngine {
	b.mu.Lock()
	if len(b.waiters) == 0 {
		if e := b.pick(); e != nil {
			e.running++
			b.mu.Unlock()
			return e
		}
	}
	assigned := make(chan *baselineEngine, 1)
	b.waiters = append(b.waiters, assigned)
	b.mu.Unlock()
	select {
	case e := <-assigned:
		return e
	case <-ctx.Done():
		return nil
	}
}

// pick returns the next engine by the policy, or nil if all slots are in use. The
// lock must be held.
func (b *Baseline) pick() *baselineEngine {
	if b.policy == RoundRobin {
		for range b.engines {
			e := b.engines[b.nextIndex%len(b.engines)]
			b.nextIndex++
			if e.running < e.slots {
				return e
			}
		}
		return nil
	}
	var best *baselineEngine
	for _, e := range b.engines {
		if e.running < e.slots && (best == nil || e.running < best.running) {
			best = e
		}
	}
	return best
}

// release frees a slot of an engine and assigns free slots to the requests that have
// waited longest.
func (b *Baseline) release(e *baselineEngine) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e.running--
	for len(b.waiters) > 0 {
		next := b.pick()
		if next == nil {
			return
		}
		next.running++
		b.waiters[0] <- next
		b.waiters = b.waiters[1:]
	}
}
