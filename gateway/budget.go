package gateway

import (
	"sync"
	"time"

	"mulberrydyke/plan"
	"mulberrydyke/setting"
)

const (
	// budgetSlots is the number of parts in which a window is counted.
	budgetSlots = 10
	// budgetShare is the part of its allowance that a host uses. The rest is for
	// what ended processes have spent.
	budgetShare = 0.6
)

// Budget bounds how often this host sends a request a second time, so that all
// hosts together stay under what the operators allow. It counts each service
// apart. It is safe for concurrent use.
type Budget struct {
	mu     sync.Mutex
	bounds setting.EdgeBounds
	// hosts returns how many hosts share the extra repeats.
	hosts    func() int
	services map[plan.ServiceID]*window
}

// window counts over the last slots of a service.
type window struct {
	fresh, repeats [budgetSlots]int
	at             int64
}

// NewBudget returns a budget that a number of hosts share.
func NewBudget(bounds setting.EdgeBounds, hosts func() int) *Budget {
	return &Budget{bounds: bounds, hosts: hosts, services: map[plan.ServiceID]*window{}}
}

// SetBounds takes up other bounds. What was counted under another window is
// forgotten, and repeats start from nothing.
func (b *Budget) SetBounds(bounds setting.EdgeBounds) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if bounds.RetryWindow != b.bounds.RetryWindow {
		b.services = map[plan.ServiceID]*window{}
	}
	b.bounds = bounds
}

// Fresh counts a request that is sent for the first time.
func (b *Budget) Fresh(now time.Time, s plan.ServiceID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(now, s)
	w.fresh[w.at%budgetSlots]++
}

// Repeat says whether a request may be sent once more, and counts it if so.
func (b *Budget) Repeat(now time.Time, s plan.ServiceID) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(now, s)
	fresh, repeats := 0, 0
	for i := range budgetSlots {
		fresh += w.fresh[i]
		repeats += w.repeats[i]
	}
	allowed := budgetShare * (b.bounds.RetryRatio*float64(fresh) + b.bounds.RetryExtra/float64(max(1, b.hosts())))
	if float64(repeats+1) > allowed {
		return false
	}
	w.repeats[w.at%budgetSlots]++
	return true
}

// window returns a service's window, moved on to now.
func (b *Budget) window(now time.Time, s plan.ServiceID) *window {
	at := now.UnixNano() / int64(b.bounds.RetryWindow/budgetSlots)
	w := b.services[s]
	if w == nil {
		w = &window{at: at}
		b.services[s] = w
	}
	if at-w.at >= budgetSlots {
		*w = window{at: at}
	}
	for w.at < at {
		w.at++
		w.fresh[w.at%budgetSlots], w.repeats[w.at%budgetSlots] = 0, 0
	}
	return w
}
