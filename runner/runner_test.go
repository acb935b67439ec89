package runner

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"mulberrydyke/job"
	"mulberrydyke/member"
	"mulberrydyke/placement"
	"mulberrydyke/plan"
	"mulberrydyke/refusal"
	"mulberrydyke/ticket"
	"mulberrydyke/upstream"
)

// lone is a fleet of one host.
type lone struct{}

func (lone) Self() member.Identity { return member.Identity{ID: "h", Domain: "d1"} }
func (lone) Live(plan.DomainID) []member.Identity {
	return []member.Identity{{ID: "h", Domain: "d1"}}
}
func (lone) Call(context.Context, member.Identity, string, any, any) error {
	return errors.New("there is no other host")
}

// behaviour is what an engine does with a request.
type behaviour func(w http.ResponseWriter, r *http.Request)

func answers(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(upstream.RequestHeader)
	fmt.Fprintf(w, "id: 0\ndata: {\"id\":%q,\"choices\":[{\"delta\":{\"content\":\"yes\"}}]}\n\nid: 1\ndata: [DONE]\n\n", id)
}

func refuses(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }

func breaks(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// newTestRunner returns a runner with an engine per behaviour, the first ones
// in its own domain, and counters of the requests that each got.
func newTestRunner(t *testing.T, domains []string, engines ...behaviour) (*Runner, []*atomic.Int64) {
	t.Helper()
	var list []string
	var counts []*atomic.Int64
	for i, b := range engines {
		count := &atomic.Int64{}
		counts = append(counts, count)
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.Method == http.MethodPost {
				count.Add(1)
				b(w, r)
				return
			}
			fmt.Fprint(w, "{}")
		}))
		t.Cleanup(server.Close)
		list = append(list, fmt.Sprintf(`{"id": "%s-%d", "address": %q, "domain": %q, "kind": "engine", "models": ["m"], "slots": 1, "state": "live"}`,
			t.Name(), i, server.Listener.Addr(), domains[i]))
	}
	state := plan.NewState()
	for kind, raw := range map[plan.Kind]string{
		plan.KindPlans: `{"version": 1, "plans": [{"id": "p", "tier": 1, "targets": {"c": {"first-token": "1h", "between-tokens": "1h"}}}],
			"accounts": [{"id": "a", "plan": "p"}]}`,
		plan.KindEntitlements: `{"version": 1, "classes": [{"id": "c"}], "entitlements": [{"plan": "p", "models": ["m"], "classes": ["c"], "share": 1}]}`,
		plan.KindUpstreams:    `{"version": 1, "upstreams": [` + strings.Join(list, ",") + `]}`,
	} {
		next, err := state.With(kind, []byte(raw))
		if err != nil {
			t.Fatal(err)
		}
		state = next
	}
	get := func() *plan.State { return state }
	set, cleanup := upstream.NewSet(time.Second)
	t.Cleanup(cleanup)
	set.Update(state.Upstreams)
	whole := func() float64 { return 1 }
	local, stop := placement.NewServer(get, whole, nil)
	t.Cleanup(stop)
	alone, stopAlone := placement.NewServer(get, whole, nil)
	t.Cleanup(stopAlone)
	placer, end := placement.NewClient(lone{}, local, alone)
	t.Cleanup(end)
	return New(Options{
		Host: "h", Incarnation: 1, Domain: "d1", Domains: func() []plan.DomainID { return []plan.DomainID{"d2"} },
		Placer: placer, Upstreams: set, State: get, AnswerBytes: 1 << 20, RetryPart: 1,
	}), counts
}

func testJob(idempotent bool) *job.Job {
	return &job.Job{
		ID: "r", Account: "a", Class: "c", Kind: plan.Engine, Target: "m", Method: http.MethodPost,
		Path: "/v1/chat/completions", Body: []byte("{}"), Chat: true, Idempotent: idempotent,
	}
}

func run(t *testing.T, r *Runner, j *job.Job) (Report, *refusal.Error, string) {
	t.Helper()
	out := ticket.NewAnswer()
	report, err := r.Run(t.Context(), j, time.Now(), nil, out)
	if err == nil {
		return report, nil, string(out.Keep().Bytes)
	}
	return report, refusal.Of(err), ""
}

func total(counts []*atomic.Int64) int64 {
	var sum int64
	for _, c := range counts {
		sum += c.Load()
	}
	return sum
}

// TestBrokenRunIsRepeatedOnlyWhereItMayBe breaks one engine's answers off.
func TestBrokenRunIsRepeatedOnlyWhereItMayBe(t *testing.T) {
	r, counts := newTestRunner(t, []string{"d1", "d1"}, breaks, answers)
	for range 3 {
		if _, e, text := run(t, r, testJob(true)); e != nil || !strings.Contains(text, "yes") {
			t.Errorf("an idempotent job: %v %q", e, text)
		}
	}
	broken, single := newTestRunner(t, []string{"d1", "d1"}, breaks, breaks)
	report, e, _ := run(t, broken, testJob(false))
	if e == nil || e.Outcome != ticket.Unknown || report.Tries != 1 || total(single) != 1 {
		t.Errorf("a job that must not run twice: %v, %d tries, %d requests", e, report.Tries, total(single))
	}
	if counts[1].Load() < 3 {
		t.Errorf("the engine that answers got %d requests", counts[1].Load())
	}
}

// TestRefusedRunIsTriedElsewhere checks that what certainly did not run is sent
// to another engine, also where it must not run twice.
func TestRefusedRunIsTriedElsewhere(t *testing.T) {
	r, _ := newTestRunner(t, []string{"d1", "d1"}, refuses, answers)
	for range 3 {
		if _, e, _ := run(t, r, testJob(false)); e != nil {
			t.Error(e)
		}
	}
	busy, _ := newTestRunner(t, []string{"d1"}, refuses)
	if _, e, _ := run(t, busy, testJob(false)); e == nil || e.Outcome != ticket.NotRun {
		t.Errorf("only refusals: %v", e)
	}
}

// TestOutcomeCoversAllTries breaks the first try off and refuses the second.
func TestOutcomeCoversAllTries(t *testing.T) {
	var calls atomic.Int64
	first := func(w http.ResponseWriter, r *http.Request) {
		if calls.Add(1) == 1 {
			breaks(w, r)
		}
		refuses(w, r)
	}
	r, _ := newTestRunner(t, []string{"d1", "d1"}, first, first)
	if _, e, _ := run(t, r, testJob(true)); e == nil || e.Outcome != ticket.Unknown {
		t.Errorf("got %v, want outcome unknown", e)
	}
}

// TestOtherDomainIsUsed checks that a job goes to another failure domain where
// the own one has no upstream.
func TestOtherDomainIsUsed(t *testing.T) {
	r, _ := newTestRunner(t, []string{"d2"}, answers)
	report, e, _ := run(t, r, testJob(true))
	if e != nil || report.Pool.Domain != "d2" {
		t.Errorf("got %v from %s", e, report.Pool.Domain)
	}
}

func TestBudgetBoundsRetries(t *testing.T) {
	b := NewBudget(0.1)
	spent := 0
	for range 1000 {
		b.Earn()
		for b.Spend() {
			spent++
		}
	}
	if most := 100 + int(budgetMost) + 1; spent > most {
		t.Errorf("%d retries for 1000 requests, want at most %d", spent, most)
	}
}
