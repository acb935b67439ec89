package load

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"mulberrydyke/plan"
)

func TestArrivalsFollowTheirSeed(t *testing.T) {
	p := Profiles()["blue-mahoe"]
	a := p.Arrivals(7, 50, 10*time.Second, Burst{})
	b := p.Arrivals(7, 50, 10*time.Second, Burst{})
	if diff := cmp.Diff(a, b); diff != "" {
		t.Errorf("the same seed gave other arrivals (-first +second):\n%s", diff)
	}
	if len(a) < 400 || len(a) > 600 {
		t.Errorf("%d arrivals at 50/s in 10 s", len(a))
	}
	for i := 1; i < len(a); i++ {
		if a[i].Offset < a[i-1].Offset {
			t.Fatal("arrivals are out of order")
		}
	}
}

// TestBurstRaisesOneClass checks that a burst multiplies its class only.
func TestBurstRaisesOneClass(t *testing.T) {
	p := Profiles()["blue-mahoe"]
	count := func(b Burst) map[plan.ClassID]int {
		out := map[plan.ClassID]int{}
		for _, a := range p.Arrivals(7, 50, 30*time.Second, b) {
			out[a.Class.ID]++
		}
		return out
	}
	calm, burst := count(Burst{}), count(MiddleThirdBurst("digest", 6, 30*time.Second))
	if burst["digest"] < 2*calm["digest"] {
		t.Errorf("digest: %d without, %d with the burst", calm["digest"], burst["digest"])
	}
	if burst["draft"] != calm["draft"] {
		t.Errorf("draft: %d without, %d with the burst of another class", calm["draft"], burst["draft"])
	}
}

func TestProfilesListsAreValid(t *testing.T) {
	for name, p := range Profiles() {
		plans, entitled := p.Lists()
		for kind, list := range map[plan.Kind]any{plan.KindPlans: plans, plan.KindEntitlements: entitled} {
			raw, err := json.Marshal(list)
			if err != nil {
				t.Fatal(err)
			}
			if _, err := plan.NewState().With(kind, raw); err != nil {
				t.Errorf("%s: %v", name, err)
			}
		}
	}
}

// TestSummary checks the figures of a summary against a small run whose sums
// are known.
func TestSummary(t *testing.T) {
	results := []Result{
		{Class: "c", Tier: 1, Offset: 0, Tokens: 10, MetTarget: true, FirstToken: 100 * time.Millisecond, Total: time.Second},
		{Class: "c", Tier: 1, Offset: time.Second, Tokens: 10, FirstToken: 900 * time.Millisecond, Total: time.Second},
		{Class: "c", Tier: 1, Offset: 2 * time.Second, Code: "queue-full"},
		{Class: "d", Tier: 2, Offset: 0, Tokens: 20, MetTarget: true, Corrupt: true},
	}
	got := Summarize("x", 1, 2, 2*time.Second, results, 50)
	type figures struct {
		Attainment, Goodput, Wasted, Lost float64
		Refused, Foreign                  int
	}
	want := figures{Attainment: 1.0 / 3, Goodput: 15, Wasted: 0.4, Lost: 0.2, Refused: 1, Foreign: 1}
	have := figures{
		Attainment: got.Classes[0].Attainment, Goodput: got.Goodput, Wasted: got.WastedFraction, Lost: got.LostFraction,
		Refused: got.Classes[0].Refused["queue-full"], Foreign: got.Classes[1].Corrupt,
	}
	if diff := cmp.Diff(want, have); diff != "" {
		t.Errorf("figures (-want +got):\n%s", diff)
	}
}
