package edge

import (
	"log/slog"
	"testing"
	"time"
)

// TestPausedProcessCatchesUpFirst guards against a process that was paused over an evacuation and
// sends requests to the domain as soon as it runs again, and against processes that wait though
// they were only slow, or though nothing calls for it.
func TestPausedProcessCatchesUpFirst(t *testing.T) {
	start := time.Now()
	for name, x := range map[string]struct {
		bound, pause, later, want time.Duration
	}{
		"paused":                  {evacuationBound, 10 * time.Second, 0, catchUpTime},
		"paused a moment ago":     {evacuationBound, 10 * time.Second, catchUpTime / 2, catchUpTime / 2},
		"caught up":               {evacuationBound, 10 * time.Second, catchUpTime, 0},
		"slow":                    {evacuationBound, evacuationBound / 2, 0, 0},
		"paused, without a bound": {0, time.Hour, 0, 0},
	} {
		g := newPauseGuard(start, x.bound)
		g.observe(start.Add(x.pause))
		if got, _ := g.observe(start.Add(x.pause + x.later)); got != x.want {
			t.Errorf("%s: requests wait for %v, want %v", name, got, x.want)
		}
	}
	h := &Host{log: slog.New(slog.DiscardHandler), pause: newPauseGuard(start.Add(-time.Minute), evacuationBound)}
	h.upstreams.init()
	h.lookupUpstream("a")
	if took := time.Since(start); took < catchUpTime {
		t.Errorf("a request waited for %v after a pause, want %v", took, catchUpTime)
	}
}
