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
	// restartPauseLimit is the same for pauses in which upstreams may have restarted. They may be
	// cold then, and the fleet exceeds what they take if one host sends them its waiting requests.
	restartPauseLimit = 500 * time.Millisecond
	// pauseTicks is the number of signs of life within a limit. Several of them may be late
	// before a process that was only slow counts as paused.
	pauseTicks = 8
	// lifeInterval is the time between two signs of life, also while requests wait.
	lifeInterval = restartPauseLimit / pauseTicks
)

// pauseGuard detects that the process was paused for so long that it may have missed a change of
// upstreams of which it must know before it sends them requests.
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

// newEvacuationGuard returns a guard for a platform on which evacuations must take effect within
// maxDelay, or for one without evacuations if that is zero. After a pause of up to half of it a host
// is still in time without the guard.
func newEvacuationGuard(now time.Time, maxDelay time.Duration) *pauseGuard {
	g := &pauseGuard{seenAt: now}
	if maxDelay > 0 {
		g.limit = max(minPauseLimit, maxDelay/2)
	}
	return g
}

// newRestartGuard returns a guard for requests to upstreams that may be cold after a restart.
func newRestartGuard(now time.Time) *pauseGuard {
	return &pauseGuard{seenAt: now, limit: restartPauseLimit}
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

// checkPause returns how long requests have to wait because the process was paused: all requests, and
// those to upstreams that may be cold after a restart.
func (h *Host) checkPause() (all, restartable time.Duration) {
	now := time.Now()
	all, noticed := h.evacuationPause.observe(now)
	if noticed > 0 {
		h.log.Warn("process was paused", "pause", noticed, "requests-wait", all)
	}
	restartable, noticed = h.restartPause.observe(now)
	if noticed > 0 && all == 0 {
		h.log.Info("process was paused, upstreams may have restarted", "pause", noticed, "requests-wait", restartable)
	}
	return all, restartable
}

// watchPauses gives signs of life until ctx ends.
func (h *Host) watchPauses(ctx context.Context) {
	ticker := time.NewTicker(lifeInterval)
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
