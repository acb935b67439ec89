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

// singleHostFleet is a placement.Fleet with only one host.
type singleHostFleet struct{}

func (singleHostFleet) Self() member.Identity { return member.Identity{ID: "h", Domain: "d1"} }
func (singleHostFleet) Live(plan.DomainID) []member.Identity {
	return []member.Identity{{ID: "h", Domain: "d1"}}
}
func (singleHostFleet) Call(context.Context, member.Identity, string, any, any) error {
	return errors.New("there is no other host")
}

// engineHandler handles the requests that a test engine gets.
type engineHandler func(w http.ResponseWriter, r *http.Request)

// answerRequest streams a short complete answer.
func answerRequest(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(upstream.RequestIDHeader)
	fmt.Fprintf(w, "id: 0\ndata: {\"id\":%q,\"choices\":[{\"delta\":{\"content\":\"yes\"}}]}\n\nid: 1\ndata: [DONE]\n\n", id)
}

// refuseRequest refuses the request, which proves that it did not run.
func refuseRequest(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusServiceUnavailable)
}

// abortConnection closes the connection without an answer, so the request may
// have run.
func abortConnection(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// newTestRunner returns a runner of domain d1 with one engine for each handler,
// placed in the domain of the same index, and counters of the requests that each
// engine got.
func newTestRunner(t *testing.T, domains []string, handlers ...engineHandler) (*Runner, []*atomic.Int64) {
	t.Helper()
	var upstreams []string
	var counts []*atomic.Int64
	for i, handler := range handlers {
		count := &atomic.Int64{}
		counts = append(counts, count)
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.Method == http.MethodPost {
				count.Add(1)
				handler(w, r)
				return
			}
			fmt.Fprint(w, "{}")
		}))
		t.Cleanup(server.Close)
		upstreams = append(upstreams, fmt.Sprintf(`{"id": "%s-%d", "address": %q, "domain": %q, "kind": "engine", "models": ["m"], "slots": 1, "state": "live"}`,
			t.Name(), i, server.Listener.Addr(), domains[i]))
	}
	state := plan.NewState()
	for kind, raw := range map[plan.ListKind]string{
		plan.KindPlans: `{"version": 1, "plans": [{"id": "p", "tier": 1, "targets": {"c": {"first-token": "1h", "between-tokens": "1h"}}}],
			"accounts": [{"id": "a", "plan": "p"}]}`,
		plan.KindEntitlements: `{"version": 1, "classes": [{"id": "c"}], "entitlements": [{"plan": "p", "models": ["m"], "classes": ["c"], "share": 1}]}`,
		plan.KindUpstreams:    `{"version": 1, "upstreams": [` + strings.Join(upstreams, ",") + `]}`,
	} {
		next, err := state.WithList(kind, []byte(raw))
		if err != nil {
			t.Fatal(err)
		}
		state = next
	}
	getState := func() *plan.State { return state }
	set, cleanup := upstream.NewSet(time.Second)
	t.Cleanup(cleanup)
	set.Update(state.Upstreams)
	fullLimit := func() float64 { return 1 }
	local, stopLocal := placement.NewServer(getState, fullLimit, nil)
	t.Cleanup(stopLocal)
	fallback, stopFallback := placement.NewServer(getState, fullLimit, nil)
	t.Cleanup(stopFallback)
	placer, stopPlacer := placement.NewClient(singleHostFleet{}, local, fallback)
	t.Cleanup(stopPlacer)
	return New(Options{
		Host: "h", Incarnation: 1, Domain: "d1", OtherDomains: func() []plan.DomainID { return []plan.DomainID{"d2"} },
		Placer: placer, Upstreams: set, State: getState, MaxAnswerBytes: 1 << 20, RetryRatio: 1,
	}), counts
}

// testJob returns a completion job for the test engines.
func testJob(idempotent bool) *job.Job {
	return &job.Job{
		ID: "r", Account: "a", Class: "c", Kind: plan.Engine, Target: "m", Method: http.MethodPost,
		Path: "/v1/chat/completions", Body: []byte("{}"), Chat: true, Idempotent: idempotent,
	}
}

// runJob runs a job without a guard and returns its report, the refusal if it
// failed, and the answer.
func runJob(t *testing.T, r *Runner, j *job.Job) (Report, *refusal.Error, string) {
	t.Helper()
	out := ticket.NewAnswer()
	report, err := r.Run(t.Context(), j, time.Now(), nil, out)
	if err == nil {
		return report, nil, string(out.Snapshot().Bytes)
	}
	return report, refusal.FromError(err), ""
}

// sum adds up the counters.
func sum(counts []*atomic.Int64) int64 {
	var total int64
	for _, c := range counts {
		total += c.Load()
	}
	return total
}

// TestBrokenRunIsRetriedOnlyIfIdempotent closes an engine's connection during a
// run. An idempotent job must be retried on the other engine; any other job may
// have run, so it must not be sent again.
func TestBrokenRunIsRetriedOnlyIfIdempotent(t *testing.T) {
	r, counts := newTestRunner(t, []string{"d1", "d1"}, abortConnection, answerRequest)
	for range 3 {
		if _, refused, text := runJob(t, r, testJob(true)); refused != nil || !strings.Contains(text, "yes") {
			t.Errorf("idempotent job: got refusal %v and answer %q", refused, text)
		}
	}
	bothBroken, bothBrokenCounts := newTestRunner(t, []string{"d1", "d1"}, abortConnection, abortConnection)
	report, refused, _ := runJob(t, bothBroken, testJob(false))
	if refused == nil || refused.Outcome != ticket.Unknown || report.Attempts != 1 || sum(bothBrokenCounts) != 1 {
		t.Errorf("job that must not run twice: got %v, %d attempts, %d requests, want one attempt with outcome unknown", refused, report.Attempts, sum(bothBrokenCounts))
	}
	if counts[1].Load() < 3 {
		t.Errorf("the answering engine got %d requests, want at least 3", counts[1].Load())
	}
}

// TestRefusedRunIsRetriedOnAnotherUpstream checks that a job that provably did
// not run is sent to another engine even if it must not run twice.
func TestRefusedRunIsRetriedOnAnotherUpstream(t *testing.T) {
	r, _ := newTestRunner(t, []string{"d1", "d1"}, refuseRequest, answerRequest)
	for range 3 {
		if _, refused, _ := runJob(t, r, testJob(false)); refused != nil {
			t.Error(refused)
		}
	}
	refusing, _ := newTestRunner(t, []string{"d1"}, refuseRequest)
	if _, refused, _ := runJob(t, refusing, testJob(false)); refused == nil || refused.Outcome != ticket.NotRun {
		t.Errorf("all engines refuse: got %v, want outcome not-run", refused)
	}
}

// TestOutcomeCoversAllAttempts closes the connection of the first attempt and
// refuses the second. The first may have run, so the outcome must be unknown
// although the second did not run.
func TestOutcomeCoversAllAttempts(t *testing.T) {
	var calls atomic.Int64
	abortThenRefuse := func(w http.ResponseWriter, r *http.Request) {
		if calls.Add(1) == 1 {
			abortConnection(w, r)
		}
		refuseRequest(w, r)
	}
	r, _ := newTestRunner(t, []string{"d1", "d1"}, abortThenRefuse, abortThenRefuse)
	if _, refused, _ := runJob(t, r, testJob(true)); refused == nil || refused.Outcome != ticket.Unknown {
		t.Errorf("got %v, want outcome unknown", refused)
	}
}

// TestJobFallsBackToOtherDomain checks that a job is placed in another failure
// domain if its own has no upstream.
func TestJobFallsBackToOtherDomain(t *testing.T) {
	r, _ := newTestRunner(t, []string{"d2"}, answerRequest)
	report, refused, _ := runJob(t, r, testJob(true))
	if refused != nil || report.Pool.Domain != "d2" {
		t.Errorf("got %v from domain %q, want success from d2", refused, report.Pool.Domain)
	}
}

// TestRetryBudgetLimitsRetries takes as many retries as a budget of 10 % allows.
func TestRetryBudgetLimitsRetries(t *testing.T) {
	b := NewRetryBudget(0.1)
	retries := 0
	for range 1000 {
		b.Deposit()
		for b.TryWithdraw() {
			retries++
		}
	}
	if maxRetries := 100 + int(maxSavedRetries) + 1; retries > maxRetries {
		t.Errorf("%d retries for 1000 requests, want at most %d", retries, maxRetries)
	}
}

// TestRetryAfterReachesTheScheduler guards against an upstream that tells one host when to
// come back and gets the next request of another job at once.
func TestRetryAfterReachesTheScheduler(t *testing.T) {
	r, counts := newTestRunner(t, []string{"d1"}, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Retry-After", "30")
		refuseRequest(w, r)
	})
	for range 4 {
		ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
		_, _ = r.Run(ctx, testJob(true), time.Now(), nil, ticket.NewAnswer())
		cancel()
	}
	if n := counts[0].Load(); n != 1 {
		t.Errorf("the upstream got %d requests, want 1", n)
	}
}

// TestRateLimitReachesTheScheduler guards against schedulers that don't keep to the rate that
// an upstream has told the host of a job.
func TestRateLimitReachesTheScheduler(t *testing.T) {
	r, counts := newTestRunner(t, []string{"d1"}, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(upstream.RateLimitHeader, "2")
		answerRequest(w, r)
	})
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); {
		ctx, cancel := context.WithDeadline(t.Context(), end)
		_, _ = r.Run(ctx, testJob(true), time.Now(), nil, ticket.NewAnswer())
		cancel()
	}
	// The first answers, before the limit is known, and two a second.
	if n := counts[0].Load(); n < 4 || n > 10 {
		t.Errorf("the upstream got %d requests in 3 s, want about 7", n)
	}
}

// TestDrainingReachesTheScheduler guards against schedulers that grant runs on an upstream which
// has told the host of a job that it is draining.
func TestDrainingReachesTheScheduler(t *testing.T) {
	r, counts := newTestRunner(t, []string{"d1"}, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(upstream.DrainingHeader, "1")
		answerRequest(w, r)
	})
	for range 4 {
		ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
		_, _ = r.Run(ctx, testJob(true), time.Now(), nil, ticket.NewAnswer())
		cancel()
	}
	if n := counts[0].Load(); n != 1 {
		t.Errorf("the upstream got %d requests, want 1", n)
	}
}
