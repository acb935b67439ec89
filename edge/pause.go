package edge

import (
	"context"
	"sync"
	"time"

	"mulberrydyke/gossip"
)

const (
	// catchUpTime is how long a process that was paused sends nothing to upstreams, so that it
	// hears of what it missed and fetches it. It leaves time for slow machines.
	catchUpTime = gossip.SpreadTime + 400*time.Millisecond
	// minPauseLimit is the shortest time without a sign of life that counts as a pause.
	// Processes on small machines may wait long for the processor.
	minPauseLimit = time.Second
	// pauseTicks is the number of signs of life within the limit. Several of them may be late
	// before a process that was only slow counts as paused.
	pauseTicks = 8
)

// pauseGuard detects that the process was paused for so long that it may have missed the evacuation
// of upstreams which must get no further requests.
type pauseGuard struct {
	// limit is the longest time between two signs of life that is no pause. Zero means that
	// pauses do not matter.
	limit time.Duration

	mu sync.Mutex
	// seenAt is the time of the last sign of life.
	seenAt time.Time
	// heldUntil is when requests may be sent again after the last pause.
	heldUntil time.Time
}

// newPauseGuard returns a guard for a platform on which evacuations must take effect within
// maxEvacuationDelay. After a pause of up to half of that a host is still in time without the guard.
func newPauseGuard(now time.Time, maxEvacuationDelay time.Duration) *pauseGuard {
	g := &pauseGuard{seenAt: now}
	if maxEvacuationDelay > 0 {
		g.limit = max(minPauseLimit, maxEvacuationDelay/2)
	}
	return g
}

// observe records that the process runs. It returns how long requests have to wait because of a
// pause, and the length of the pause if this call noticed it, or zero.
func (g *pauseGuard) observe(now time.Time) (hold, noticed time.Duration) {
	if g.limit == 0 {
		return 0, 0
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if pause := now.Sub(g.seenAt); pause > g.limit {
		g.heldUntil, noticed = now.Add(catchUpTime), pause
	}
	if now.After(g.seenAt) {
		g.seenAt = now
	}
	return max(0, g.heldUntil.Sub(now)), noticed
}

// checkPause returns how long requests have to wait because the process was paused.
func (h *Host) checkPause() time.Duration {
	hold, noticed := h.pause.observe(time.Now())
	if noticed > 0 {
		h.log.Warn("process was paused", "pause", noticed, "requests-wait", hold)
	}
	return hold
}

// watchPauses gives signs of life until ctx ends.
func (h *Host) watchPauses(ctx context.Context) {
	if h.pause.limit == 0 {
		return
	}
	ticker := time.NewTicker(h.pause.limit / pauseTicks)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			h.checkPause()
		case <-ctx.Done():
			return
		}
	}
}
