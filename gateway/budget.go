package gateway

import (
	"sync"
	"time"

	"mulberrydyke/dispatch"
	"mulberrydyke/plan"
	"mulberrydyke/setting"
)

const (
	// budgetSlots is the number of parts in which a window is counted.
	budgetSlots = 10
	// budgetShare is the part of its allowance that a host uses. The rest is for
	// what ended processes have spent.
	budgetShare = 0.6
	// fleetShare is the part of what all hosts are allowed together above which
	// none repeats: what the others say is some hundred milliseconds old.
	fleetShare = 0.85
)

// Budget bounds how often this host sends a request a second time, so that all
// hosts together stay under what the operators allow. It counts each service
// apart. It is safe for concurrent use.
type Budget struct {
	mu     sync.Mutex
	bounds setting.EdgeBounds
	// hosts returns how many hosts share the extra repeats.
	hosts func() int
	// core tells other hosts what was sent, and hears it of them.
	core     *dispatch.Balancer
	services map[plan.ServiceID]*window
}

// window counts over the last slots of a service.
type window struct {
	fresh, repeats [budgetSlots]int
	at             int64
}

// NewBudget returns a budget that a number of hosts share. What is sent is told to
// the others by core.
func NewBudget(bounds setting.EdgeBounds, hosts func() int, core *dispatch.Balancer) *Budget {
	return &Budget{bounds: bounds, hosts: hosts, core: core, services: map[plan.ServiceID]*window{}}
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
	b.core.SetSendCounts(s, w.sent())
}

// Repeat says whether a request may be sent once more, and counts it if so.
func (b *Budget) Repeat(now time.Time, s plan.ServiceID) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(now, s)
	if !b.allows(w, s) {
		return false
	}
	w.repeats[w.at%budgetSlots]++
	b.core.SetSendCounts(s, w.sent())
	return true
}

// Allows says whether a request might be sent once more now.
func (b *Budget) Allows(now time.Time, s plan.ServiceID) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.allows(b.window(now, s), s)
}

// allows says whether one more repeat is within this host's share, and within what
// all hosts are allowed as far as they were heard.
func (b *Budget) allows(w *window, s plan.ServiceID) bool {
	own := w.sent()
	share := budgetShare * (b.bounds.RetryRatio*float64(own.FirstAttempts) + b.bounds.RetryExtra/float64(max(1, b.hosts())))
	if float64(own.Retries+1) > share {
		return false
	}
	others := b.core.RemoteSendCounts(s)
	fleet := fleetShare * (b.bounds.RetryRatio*float64(own.FirstAttempts+others.FirstAttempts) + b.bounds.RetryExtra)
	return float64(own.Retries+others.Retries+1) <= fleet
}

// sent returns what was sent in the whole window.
func (w *window) sent() dispatch.SendCounts {
	var s dispatch.SendCounts
	for i := range budgetSlots {
		s.FirstAttempts += w.fresh[i]
		s.Retries += w.repeats[i]
	}
	return s
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
