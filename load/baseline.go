package load

import (
	"context"
	"sync"
	"time"

	"mulberrydyke/plan"
)

// BaselinePolicy names a simple policy to compare with.
type BaselinePolicy string

// Baselines. Both have one queue in the order of arrival, and send each engine
// as many requests at once as it is sized for.
const (
	RoundRobin       BaselinePolicy = "round-robin"
	LeastOutstanding BaselinePolicy = "least-outstanding"
)

// Baseline sends requests straight to engines by a simple policy.
type Baseline struct {
	kind   BaselinePolicy
	client *Client

	mu      sync.Mutex
	engines []*baselineEngine
	turn    int
	queue   []chan *baselineEngine
}

type baselineEngine struct {
	address string
	slots   int
	running int
}

// NewBaseline returns a policy over the engines of a fleet, and its clean-up
// function.
func NewBaseline(kind BaselinePolicy, upstreams *plan.Upstreams) (*Baseline, func()) {
	client, cleanup := NewClient()
	b := &Baseline{kind: kind, client: client}
	for _, u := range upstreams.Upstreams {
		if u.Kind == plan.Engine {
			b.engines = append(b.engines, &baselineEngine{address: u.Address, slots: u.Slots})
		}
	}
	return b, cleanup
}

// Send waits for a place in the order of arrival and sends the request.
func (b *Baseline) Send(ctx context.Context, model plan.ModelID, a Arrival) Result {
	started := time.Now()
	engine := b.acquire(ctx)
	if engine == nil {
		return Result{Class: a.Class.ID, Tier: a.Class.Tier, Offset: a.Offset, Code: "not served"}
	}
	defer b.release(engine)
	waited := time.Since(started)
	out := b.client.Send(ctx, engine.address, model, a)
	out.FirstToken += waited
	out.Total += waited
	out.MetTarget = out.Code == "" && out.FirstToken <= a.Class.Target.FirstToken.Std() &&
		out.BetweenTokens <= a.Class.Target.BetweenTokens.Std()
	return out
}

func (b *Baseline) acquire(ctx context.Context) *baselineEngine {
	b.mu.Lock()
	if len(b.queue) == 0 {
		if e := b.pick(); e != nil {
			e.running++
			b.mu.Unlock()
			return e
		}
	}
	turn := make(chan *baselineEngine, 1)
	b.queue = append(b.queue, turn)
	b.mu.Unlock()
	select {
	case e := <-turn:
		return e
	case <-ctx.Done():
		return nil
	}
}

// pick returns the engine that goes next, or nil where all are full. The lock
// is held.
func (b *Baseline) pick() *baselineEngine {
	if b.kind == RoundRobin {
		for range b.engines {
			e := b.engines[b.turn%len(b.engines)]
			b.turn++
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

func (b *Baseline) release(e *baselineEngine) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e.running--
	for len(b.queue) > 0 {
		next := b.pick()
		if next == nil {
			return
		}
		next.running++
		b.queue[0] <- next
		b.queue = b.queue[1:]
	}
}
