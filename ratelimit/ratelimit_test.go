package ratelimit

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"mulberrydyke/plan"
	"mulberrydyke/route"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// at returns a time in milliseconds after the start.
func at(millis int) time.Time { return start.Add(time.Duration(millis) * time.Millisecond) }

// said returns what an upstream said in answer to a request.
func said(rate Rate, sent, received int) Statement {
	return Statement{Key: 1, Rate: rate, SentAt: at(sent), ReceivedAt: at(received)}
}

// TestLateAnswerDoesNotLiftALimit guards against answers that were long under way and name
// a rate that no longer holds, and against limits that never end because answers overlap.
func TestLateAnswerDoesNotLiftALimit(t *testing.T) {
	for _, c := range []struct {
		name       string
		statements []Statement
		want       Rate
	}{
		{"fallen", []Statement{said(20, 0, 100), said(1, 200, 300)}, 1},
		{"fallen, old rate comes later", []Statement{said(1, 200, 300), said(20, 0, 400)}, 1},
		{"fallen, end of an older limit comes later", []Statement{said(1, 200, 300), said(NoLimit, 0, 400)}, 1},
		{"surely older", []Statement{said(4, 200, 300), said(1, 0, 100)}, 4},
		{"risen", []Statement{said(1, 0, 100), said(4, 100, 200)}, 4},
		{"risen, old rate comes later", []Statement{said(1, 0, 100), said(4, 100, 200), said(1, 50, 300)}, 1},
		{"risen, confirmed after that", []Statement{said(1, 0, 100), said(4, 100, 200), said(1, 50, 300), said(4, 300, 400)}, 4},
		{"ended", []Statement{said(1, 0, 100), said(NoLimit, 100, 200)}, NoLimit},
		{"ended, answers overlap", []Statement{said(1, 0, 100), said(1, 20, 120), said(NoLimit, 60, 180), said(NoLimit, 125, 190)}, NoLimit},
	} {
		table := NewTable()
		for _, s := range c.statements {
			table.Record(s.ReceivedAt, s)
		}
		if got := table.Rate(at(500), 1); got != c.want {
			t.Errorf("%s: rate %v, want %v", c.name, got, c.want)
		}
	}
}

// TestToldLimitsHoldAtOtherHosts checks that a host that is told of limits knows them as the
// host that heard them does, and that it passes on what is new to it.
func TestToldLimitsHoldAtOtherHosts(t *testing.T) {
	a, b := NewTable(), NewTable()
	for i := range route.ProcessKey(100) {
		a.Record(at(100), Statement{Key: i + 1, Rate: 2, SentAt: at(0), ReceivedAt: at(100)})
	}
	for _, batch := range a.Unsent(at(120)) {
		for _, u := range batch {
			if !u.Valid() {
				t.Fatalf("%+v is not valid", u)
			}
		}
		if !b.Merge(at(130), batch) || b.Merge(at(130), batch) {
			t.Error("Merge did not tell new limits from known ones")
		}
	}
	if len(a.Unsent(at(140))) > 0 || len(b.Unsent(at(140))) == 0 {
		t.Error("what was sent is sent again, or what is new is not passed on")
	}
	counts := []int{a.Count(at(150)), b.Count(at(150)), b.Count(at(150).Add(2 * limitTTL))}
	if diff := cmp.Diff([]int{100, 100, 0}, counts); diff != "" {
		t.Error(diff)
	}
}

// TestFullTableTakesNewLimits guards against a table that is full of old limits and so
// never learns of a new one.
func TestFullTableTakesNewLimits(t *testing.T) {
	table := NewTable()
	for i := range maxLimits + 10 {
		now := at(i)
		table.Record(now, Statement{Key: route.ProcessKey(i + 1), Rate: 1, SentAt: now, ReceivedAt: now})
	}
	if n := table.Count(at(maxLimits)); n != maxLimits {
		t.Errorf("%d limits, want %d", n, maxLimits)
	}
	if table.Rate(at(maxLimits+10), maxLimits+10) != 1 {
		t.Error("the newest limit is not known")
	}
}

var testAddr = netip.MustParseAddr("10.0.0.1")

// testGrantor returns the Grantor of a host that has no others, with one part for each rate.
func testGrantor() *Grantor {
	return NewGrantor(start, NewHolders(testAddr, "a", nil))
}

// TestAnswerThatGotLostCostsOnePermit guards against a holder that takes another permit when
// a host asks again because the answer did not come.
func TestAnswerThatGotLostCostsOnePermit(t *testing.T) {
	g := testGrantor()
	ask := func(millis int, number uint64) bool {
		a := Ask{Number: number, Key: 1, Rate: 1}
		return g.Decide(at(millis), AskID{Host: "h", Incarnation: 1, Number: number}, a, Limit{Announced: 1}).Granted
	}
	ask(3000, 1)
	got := []bool{ask(4000, 2), ask(4040, 2), ask(4050, 3), ask(5100, 4)}
	if diff := cmp.Diff([]bool{true, true, false, true}, got); diff != "" {
		t.Error(diff)
	}
}

// TestHostThatHasJustStartedGivesNoPermits guards against hosts that give out permits before
// they know whether another host does, and against a bucket that begins full.
func TestHostThatHasJustStartedGivesNoPermits(t *testing.T) {
	g := testGrantor()
	granted := 0
	for millis := 0; millis < 4000; millis += 10 {
		a := Ask{Number: uint64(millis), Key: 1, Rate: 4}
		if g.Decide(at(millis), AskID{Host: "h", Number: a.Number}, a, Limit{Announced: 4}).Granted {
			granted++
		}
	}
	if granted > 4 {
		t.Errorf("%d permits in the first %v after %v, want at most 4", granted, time.Second, settleTime)
	}
}

// TestPartsDoNotGrowWhileOthersCannotBeHeard guards against hosts that divide a rate by
// what they can reach: the two sides of a cut would send twice the rate.
func TestPartsDoNotGrowWhileOthersCannotBeHeard(t *testing.T) {
	domains := []plan.DomainID{"a", "b", "c", "d"}
	h := NewHolders(netip.MustParseAddr("10.0.0.1"), "a", domains)
	for _, others := range []map[plan.DomainID][]netip.Addr{
		nil,
		{"b": {netip.MustParseAddr("10.1.0.1")}},
		{"a": {netip.MustParseAddr("10.0.0.2")}, "b": {netip.MustParseAddr("10.1.0.1")}, "c": {netip.MustParseAddr("10.2.0.1")}},
	} {
		h.SetHosts(start, others, nil)
		if n := h.Parts(); n != maxParts {
			t.Errorf("%d parts, want %d", n, maxParts)
		}
		for k := range route.ProcessKey(20) {
			if n := len(h.Of(k + 1)); n > maxParts {
				t.Errorf("%d holders", n)
			}
		}
	}
}

// TestAllHostsFindTheSameHolders checks that hosts with the same knowledge ask the same
// hosts, and that each of these finds that it is one.
func TestAllHostsFindTheSameHolders(t *testing.T) {
	domains := []plan.DomainID{"a", "b", "c", "d", "e"}
	hosts := map[plan.DomainID][]netip.Addr{}
	for d, name := range domains {
		for i := range 4 {
			hosts[name] = append(hosts[name], netip.AddrFrom4([4]byte{10, byte(d), 0, byte(i)}))
		}
	}
	asked, holding := map[string]int{}, map[string]int{}
	const keys = 50
	for _, name := range domains {
		for i, self := range hosts[name] {
			h := NewHolders(self, name, domains)
			others := map[plan.DomainID][]netip.Addr{}
			for d, list := range hosts {
				others[d] = list
			}
			others[name] = append(append([]netip.Addr{}, hosts[name][:i]...), hosts[name][i+1:]...)
			h.SetHosts(start, others, nil)
			for k := range route.ProcessKey(keys) {
				for _, holder := range h.Of(k + 1) {
					asked[fmt.Sprint(k, holder)]++
				}
				if own, _ := h.InOwnDomain(k + 1); own == self {
					holding[fmt.Sprint(k, self)]++
				}
			}
		}
	}
	if len(holding) != keys*maxParts || len(asked) != len(holding) {
		t.Errorf("%d hosts are asked and %d hold a part, want %d", len(asked), len(holding), keys*maxParts)
	}
}

// TestLessUrgentRequestsGetPermitsToo checks that more urgent requests come first for a
// bucket that all want more of, and that the others get some of it.
func TestLessUrgentRequestsGetPermitsToo(t *testing.T) {
	g := testGrantor()
	var granted [2]int
	for millis := 3000; millis < 63000; millis += 25 {
		u := millis / 25 % 2
		a := Ask{Number: uint64(millis), Key: 1, Rate: 2, Urgency: u * 9}
		if g.Decide(at(millis), AskID{Host: plan.HostID(fmt.Sprint(u)), Number: a.Number}, a, Limit{Announced: 2}).Granted {
			granted[u]++
		}
	}
	if granted[0] < 4*granted[1] || granted[1] < 5 {
		t.Errorf("%d permits for urgent requests, %d for others", granted[0], granted[1])
	}
}

// TestPausesAreToldOtherHosts checks that what an upstream told one host holds at the others
// for as long, and does not grow by being told.
func TestPausesAreToldOtherHosts(t *testing.T) {
	a, b := NewTable(), NewTable()
	if !a.RecordPause(at(0), 1, 3*time.Second) || a.RecordPause(at(10), 1, 2*time.Second) {
		t.Error("RecordPause did not tell a longer pause from a shorter one")
	}
	if !b.Merge(at(100), a.Unsent(at(100))[0]) || a.Merge(at(200), b.Unsent(at(200))[0]) {
		t.Error("a pause grew by being told")
	}
	got := []time.Duration{a.PausedUntil(1).Sub(start), b.PausedUntil(1).Sub(start)}
	if diff := cmp.Diff([]time.Duration{3 * time.Second, 3 * time.Second}, got); diff != "" {
		t.Error(diff)
	}
}
