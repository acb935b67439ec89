package ratelimit

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	"mulberrydyke/plan"
	"mulberrydyke/route"
)

// TestColdLimitLeavesAReserve guards against permits that together fill the bound, so that those
// that are used late exceed it, and against bounds that are too narrow for any permit.
func TestColdLimitLeavesAReserve(t *testing.T) {
	for _, c := range []struct {
		perSecond, overshoot, slack float64
		want                        ColdLimit
	}{
		{16, 1.5, 5, ColdLimit{Rate: 16, Burst: 6.5}},
		{13, 1.5, 5, ColdLimit{Rate: 13, Burst: 5.75}},
		{16, 1, 1, ColdLimit{Rate: 15.5, Burst: 1}},
		{16, 0, 0, ColdLimit{Rate: 15, Burst: 1}},
		{0, 1.5, 5, ColdLimit{}},
		{-1, 1.5, 5, ColdLimit{}},
	} {
		got := NewColdLimit(c.perSecond, c.overshoot, c.slack)
		if got != c.want || !got.Valid() {
			t.Errorf("%+v: got %+v", c, got)
		}
	}
}

// TestColdUpstreamsEnd guards against upstreams that are sent all requests while the list calls
// them cold or soon after this host could not connect, and against limits that never end.
func TestColdUpstreamsEnd(t *testing.T) {
	l := NewLimiter(start, testAddr, "a", nil)
	cold := func(k route.ProcessKey, until int) Cold {
		return Cold{Key: k, Until: at(until), Limit: ColdLimit{Rate: 16, Burst: 6.5}}
	}
	var got []string
	view := func(millis int) {
		now := at(millis)
		got = append(got, fmt.Sprint(l.ColdCount(now), l.Rate(now, 1), l.Rate(now, 2), l.Rate(now, 3)))
	}
	l.SetCold(at(0), []Cold{cold(1, 5000), cold(2, 5000), cold(3, -5000)})
	l.RecordLost(at(0), cold(3, 1000))
	l.RecordLost(at(0), cold(3, 4000))
	view(100)
	l.SetCold(at(2000), []Cold{cold(1, -1000)})
	for _, millis := range []int{2100, 2400, 4100, 5600} {
		view(millis)
	}
	want := []string{"3 16 16 16", "1 16 0 16", "1 32 0 16", "0 0 0 16", "0 0 0 0"}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
	if !l.Empty() {
		t.Error("the limiter is not empty after all limits have ended")
	}
}

// TestPermitsExpire guards against hosts that use a permit after a pause, or that send without
// one since the upstream was not cold when it was chosen.
func TestPermitsExpire(t *testing.T) {
	l := NewLimiter(start, testAddr, "a", nil)
	service := &route.Service{ID: "s", ColdRate: 16}
	list := &route.Upstreams{ByID: map[plan.UpstreamID]*route.Upstream{"u": {ID: "u", Service: "s", ColdUntil: at(9000)}}}
	k := list.ByID["u"].ProcessKey()
	before := NewPermit(start, l.Limit(start, k))
	got := []bool{l.MaySend(at(10), k, before)}
	l.SetCold(at(20), ListCold(list, map[plan.ServiceID]*route.Service{"s": service}, 1.5, 5))
	permit := NewPermit(at(20), l.Limit(at(20), k))
	got = append(got, l.MaySend(at(30), k, before), l.MaySend(at(30), k, permit), l.MaySend(at(20).Add(maxPermitAge), k, permit))
	if diff := cmp.Diff([]bool{true, false, true, false}, got); diff != "" {
		t.Error(diff)
	}
}
