package edge

import (
	"testing"
	"time"

	"mulberrydyke/catalog"
	"mulberrydyke/gossip"
	"mulberrydyke/platform"
	"mulberrydyke/setting"
)

// Bounds of the users' deployments.
const (
	// stableWindow is how long after the end of a disturbance all bounds hold again.
	stableWindow = 3 * time.Second
	// applyBound is the time from the acknowledgement of a table until all hosts go by
	// it.
	applyBound = 2 * time.Second
)

// TestWaitsFitIntoTheBounds checks that the waits on each path from a change in the
// store to the last host add up to less than the bound of that path, so that a change
// of one of them can't break it unnoticed. See docs/CAPACITY.md.
func TestWaitsFitIntoTheBounds(t *testing.T) {
	period := watchPeriod(setting.EdgeBounds{MaxApplyDelay: applyBound})
	notice := platform.NoticeTime(period)
	for path, x := range map[string]struct{ sum, bound time.Duration }{
		"a change in calm":                      {platform.GatherTime(period) + gossip.SpreadTime, applyBound},
		"all readers of a domain killed":        {gossip.TakeoverTime + gossip.SpreadTime, applyBound},
		"the store silent for a moment":         {notice + gossip.SpreadTime, stableWindow},
		"an upstream missing after the silence": {notice + gossip.SpreadTime + catalog.MissingGracePeriod, stableWindow + drainBound},
	} {
		if x.sum > x.bound {
			t.Errorf("%s: %v, want at most %v", path, x.sum, x.bound)
		}
	}
}
