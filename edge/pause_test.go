package edge

import (
	"log/slog"
	"testing"
	"time"

	"mulberrydyke/plan"
	"mulberrydyke/route"
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
		g := newEvacuationGuard(start, x.bound)
		g.observe(start.Add(x.pause))
		if got, _ := g.observe(start.Add(x.pause + x.later)); got != x.want {
			t.Errorf("%s: requests wait for %v, want %v", name, got, x.want)
		}
	}
	h := &Host{
		log:             slog.New(slog.DiscardHandler),
		evacuationPause: newEvacuationGuard(start.Add(-time.Minute), evacuationBound), restartPause: newRestartGuard(start),
	}
	h.upstreams.init()
	h.awaitUpstream("a")
	if took := time.Since(start); took < catchUpTime {
		t.Errorf("a request waited for %v after a pause, want %v", took, catchUpTime)
	}
}

// TestPausedProcessSendsNothingByAnOldList guards against a process that was paused while an upstream
// restarted, and that sends it all requests which have waited, though it is cold and the other hosts
// use what it takes. Upstreams that take any number of requests after a restart are not waited for.
func TestPausedProcessSendsNothingByAnOldList(t *testing.T) {
	for name, x := range map[string]struct {
		coldRate      float64
		pause, waited time.Duration
	}{
		"cold after a restart":  {6, 2 * restartPauseLimit, catchUpTime},
		"slow":                  {6, restartPauseLimit / 2, 0},
		"never cold, or always": {0, 2 * restartPauseLimit, 0},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			began := time.Now()
			h := &Host{log: slog.New(slog.DiscardHandler), evacuationPause: newEvacuationGuard(began, 0), restartPause: newRestartGuard(began.Add(-x.pause))}
			h.upstreams.init()
			h.upstreams.inForce.Store(&route.Upstreams{ByID: map[plan.UpstreamID]*route.Upstream{"a": {ID: "a", Service: "s"}}})
			h.table.Store(route.NewTable(1, route.Limits{}, nil, []*route.Service{{ID: "s", ColdRate: x.coldRate}}, nil))
			h.awaitUpstream("a")
			const margin = 400 * time.Millisecond
			if took := time.Since(began); took < x.waited || took > x.waited+margin {
				t.Errorf("a request waits for %v after a pause of %v, want %v", took, x.pause, x.waited)
			}
		})
	}
}
