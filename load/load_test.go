package load

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"mulberrydyke/plan"
)

func TestArrivalsAreDeterministicForSeed(t *testing.T) {
	p := Profiles()["blue-mahoe"]
	first := p.Arrivals(7, 50, 10*time.Second, Burst{})
	second := p.Arrivals(7, 50, 10*time.Second, Burst{})
	if diff := cmp.Diff(first, second); diff != "" {
		t.Errorf("the same seed gave different arrivals (-first +second):\n%s", diff)
	}
	if len(first) < 400 || len(first) > 600 {
		t.Errorf("got %d arrivals at 50/s in 10s, want 400 to 600", len(first))
	}
	for i := 1; i < len(first); i++ {
		if first[i].Offset < first[i-1].Offset {
			t.Fatal("arrivals are not sorted by time")
		}
	}
}

// TestBurstRaisesRateOfOneClassOnly checks that a burst raises the rate of its own
// class and leaves the others unchanged.
func TestBurstRaisesRateOfOneClassOnly(t *testing.T) {
	p := Profiles()["blue-mahoe"]
	countByClass := func(burst Burst) map[plan.ClassID]int {
		out := map[plan.ClassID]int{}
		for _, a := range p.Arrivals(7, 50, 30*time.Second, burst) {
			out[a.Class.ID]++
		}
		return out
	}
	withoutBurst, withBurst := countByClass(Burst{}), countByClass(MiddleThirdBurst("digest", 6, 30*time.Second))
	if withBurst["digest"] < 2*withoutBurst["digest"] {
		t.Errorf("digest: %d arrivals without, %d with the burst, want at least twice as many", withoutBurst["digest"], withBurst["digest"])
	}
	if withBurst["draft"] != withoutBurst["draft"] {
		t.Errorf("draft: %d arrivals without, %d with the burst of another class, want equal numbers", withoutBurst["draft"], withBurst["draft"])
	}
}

func TestProfileListsAreValid(t *testing.T) {
	for name, p := range Profiles() {
		plans, entitlements := p.Lists()
		for kind, list := range map[plan.ListKind]any{plan.KindPlans: plans, plan.KindEntitlements: entitlements} {
			raw, err := json.Marshal(list)
			if err != nil {
				t.Fatal(err)
			}
			if _, err := plan.NewState().WithList(kind, raw); err != nil {
				t.Errorf("%s: %v", name, err)
			}
		}
	}
}

// TestSummarizeComputesKnownFigures checks the figures of a summary for a small run
// against values computed by hand.
func TestSummarizeComputesKnownFigures(t *testing.T) {
	results := []Result{
		{Class: "c", Tier: 1, Offset: 0, Tokens: 10, MetTarget: true, FirstToken: 100 * time.Millisecond, Total: time.Second},
		{Class: "c", Tier: 1, Offset: time.Second, Tokens: 10, FirstToken: 900 * time.Millisecond, Total: time.Second},
		{Class: "c", Tier: 1, Offset: 2 * time.Second, Code: "queue-full"},
		{Class: "d", Tier: 2, Offset: 0, Tokens: 20, MetTarget: true, Corrupt: true},
	}
	got := Summarize("x", 1, 2, 2*time.Second, results, 50)
	type figures struct {
		Attainment, Goodput, Wasted, Lost float64
		Refused, Corrupt                  int
	}
	want := figures{Attainment: 1.0 / 3, Goodput: 15, Wasted: 0.4, Lost: 0.2, Refused: 1, Corrupt: 1}
	have := figures{
		Attainment: got.Classes[0].Attainment, Goodput: got.Goodput, Wasted: got.WastedFraction, Lost: got.LostFraction,
		Refused: got.Classes[0].Refused["queue-full"], Corrupt: got.Classes[1].Corrupt,
	}
	if diff := cmp.Diff(want, have); diff != "" {
		t.Errorf("figures (-want +got):\n%s", diff)
	}
}
