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
	// evacuationBound is the time from the acknowledgement of an evacuation until no request
	// reaches an upstream of the failure domain.
	evacuationBound = 5 * time.Second
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
		"one removed while its reader is cut":   {platform.GatherTime(period) + gossip.SpreadTime, drainBound},
		"one removed while its domain was cut":  {gossip.ServiceNewsTime, stableWindow},
		"one removed after its domain was cut":  {platform.GatherTime(period) + gossip.ServiceNewsTime, drainBound},
	} {
		if x.sum > x.bound {
			t.Errorf("%s: %v, want at most %v", path, x.sum, x.bound)
		}
	}
}

// TestFirstReadersKnowThatTheStoreServes checks that hosts which follow the store in calm count it as
// available without a break, with the longest waits in use.
func TestFirstReadersKnowThatTheStoreServes(t *testing.T) {
	for _, apply := range []time.Duration{applyBound, 3 * time.Second} {
		period := watchPeriod(setting.EdgeBounds{MaxApplyDelay: apply})
		if calm := period + platform.GatherTime(period); calm >= catalog.MaxServiceGap {
			t.Errorf("tables within %v: up to %v between two responses, want less than %v", apply, calm, catalog.MaxServiceGap)
		}
	}
}

// TestEvacuationWaitsFitIntoTheirBound checks that the waits from the acknowledgement of an
// evacuation to the last host add up to less than the platform's bound, also if the readers of a
// domain were killed or the store was silent, and where tables may take long.
func TestEvacuationWaitsFitIntoTheirBound(t *testing.T) {
	for _, apply := range []time.Duration{applyBound, time.Minute} {
		period := watchPeriod(setting.EdgeBounds{MaxApplyDelay: apply, MaxEvacuationDelay: evacuationBound})
		notice := platform.NoticeTime(period)
		last := platform.GatherTime(period) + gossip.SpreadTime
		for path, sum := range map[string]time.Duration{
			"in calm":                      last,
			"all readers of a domain gone": gossip.TakeoverTime + last,
			"the store or its link silent": notice + last,
		} {
			if sum > evacuationBound {
				t.Errorf("%s, tables within %v: %v, want at most %v", path, apply, sum, evacuationBound)
			}
		}
	}
}
