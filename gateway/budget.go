package gateway

import (
	"sync"
	"time"

	"mulberrydyke/dispatch"
	"mulberrydyke/plan"
	"mulberrydyke/setting"
)

const (
	// windowSlots is the number of slots that a sliding window is divided into.
	windowSlots = 10
	// hostBudgetFraction is the fraction of its share of the budget that a host
	// uses. The rest covers retries by processes that have since ended.
	hostBudgetFraction = 0.6
	// fleetBudgetFraction is the fraction of the budget of all hosts above which
	// no host retries. It is below 1 because the counts of the other hosts are
	// some hundred milliseconds old.
	fleetBudgetFraction = 0.85
)

// RetryBudget limits how often this host retries requests, so that all hosts
// together stay within the operators' limit. It counts each service separately.
// It is safe for concurrent use.
type RetryBudget struct {
	mu     sync.Mutex
	bounds setting.EdgeBounds
	// hostCount returns the number of hosts that share bounds.RetryExtra.
	hostCount func() int
	// balancer exchanges the counts of first attempts and retries with other
	// hosts.
	balancer *dispatch.Balancer
	windows  map[plan.ServiceID]*window
}

// window is a sliding window of the first attempts and retries of one service.
type window struct {
	// firstAttempts and retries are ring buffers, indexed by slot number modulo
	// windowSlots.
	firstAttempts, retries [windowSlots]int
	// slot is the number of the newest slot.
	slot int64
}

// NewRetryBudget returns this host's part of a retry budget that is shared by
// hostCount hosts. The balancer reports its counts to the other hosts.
func NewRetryBudget(bounds setting.EdgeBounds, hostCount func() int, balancer *dispatch.Balancer) *RetryBudget {
	return &RetryBudget{bounds: bounds, hostCount: hostCount, balancer: balancer, windows: map[plan.ServiceID]*window{}}
}

// SetBounds replaces the bounds. If the length of the window changes, all counts
// restart at zero.
func (b *RetryBudget) SetBounds(bounds setting.EdgeBounds) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if bounds.RetryWindow != b.bounds.RetryWindow {
		b.windows = map[plan.ServiceID]*window{}
	}
	b.bounds = bounds
}

// RecordFirstAttempt counts the first attempt of a request.
func (b *RetryBudget) RecordFirstAttempt(now time.Time, service plan.ServiceID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.windowAt(now, service)
	w.firstAttempts[w.slot%windowSlots]++
	b.balancer.SetSendCounts(service, w.totals())
}

// AcquireRetry reports whether a retry is within the budget, and counts it if it
// is.
func (b *RetryBudget) AcquireRetry(now time.Time, service plan.ServiceID) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.windowAt(now, service)
	if !b.canRetryLocked(w, service) {
		return false
	}
	w.retries[w.slot%windowSlots]++
	b.balancer.SetSendCounts(service, w.totals())
	return true
}

// CanRetry reports whether a retry is within the budget, without counting it.
func (b *RetryBudget) CanRetry(now time.Time, service plan.ServiceID) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.canRetryLocked(b.windowAt(now, service), service)
}

// canRetryLocked reports whether one more retry is within this host's share, and
// within the budget of all hosts by their last reports. b.mu must be held.
func (b *RetryBudget) canRetryLocked(w *window, service plan.ServiceID) bool {
	own := w.totals()
	hostLimit := hostBudgetFraction * (b.bounds.RetryRatio*float64(own.FirstAttempts) + b.bounds.RetryExtra/float64(max(1, b.hostCount())))
	if float64(own.Retries+1) > hostLimit {
		return false
	}
	others := b.balancer.OtherHostSendCounts(service)
	fleetLimit := fleetBudgetFraction * (b.bounds.RetryRatio*float64(own.FirstAttempts+others.FirstAttempts) + b.bounds.RetryExtra)
	return float64(own.Retries+others.Retries+1) <= fleetLimit
}

// totals returns the sums over all slots of the window.
func (w *window) totals() dispatch.SendCounts {
	var total dispatch.SendCounts
	for i := range windowSlots {
		total.FirstAttempts += w.firstAttempts[i]
		total.Retries += w.retries[i]
	}
	return total
}

// windowAt returns the window of a service after clearing the slots that have
// expired by now. b.mu must be held.
func (b *RetryBudget) windowAt(now time.Time, service plan.ServiceID) *window {
	slot := now.UnixNano() / int64(b.bounds.RetryWindow/windowSlots)
	w := b.windows[service]
	if w == nil {
		w = &window{slot: slot}
		b.windows[service] = w
	}
	if slot-w.slot >= windowSlots {
		*w = window{slot: slot}
	}
	for w.slot < slot {
		w.slot++
		w.firstAttempts[w.slot%windowSlots], w.retries[w.slot%windowSlots] = 0, 0
	}
	return w
}
