package soak

import (
	"strings"
	"testing"
	"time"
)

// newSuccessfulRequest returns a fleet of one host with one request that succeeded,
// and the records of the request and its run.
func newSuccessfulRequest(k requestKind) (*fleet, *requestRecord, *upstreamRun) {
	f := &fleet{
		runLog: &runLog{}, keys: map[string]*keyLifetime{"key-1": {}}, drainingSince: map[string]time.Time{}, startedAt: time.Now(),
		hosts: []*host{{}},
	}
	sentAt := f.startedAt.Add(20 * time.Second)
	r := &requestRecord{id: "x-1", kind: k, key: "key-1", path: "/" + string(k) + "/3", startNumber: 1, sentAt: sentAt, endedAt: sentAt.Add(time.Second), status: 200, hasSeal: true, complete: true}
	r.body = wantResponse(r)
	run := &upstreamRun{id: r.id, upstream: "u1", startedAt: sentAt.Add(time.Millisecond), endedAt: r.endedAt, account: "acme", path: r.path}
	if k == nonIdempotentRequest {
		run.body = requestBody(r.id)
	}
	f.runLog.runs = []*upstreamRun{run}
	f.generator = &loadGenerator{fleet: f, records: []*requestRecord{r}}
	return f, r, run
}

// evacuateBefore evacuates the domain of a run some time before it starts.
func evacuateBefore(f *fleet, run *upstreamRun, d time.Duration) {
	run.domain = "a"
	f.evacuation = &evacuation{domain: "a", writtenAt: run.startedAt.Add(-d), removedAt: run.startedAt.Add(time.Second)}
}

// addColdArrivals adds requests within one second at a cold upstream.
func addColdArrivals(f *fleet, start time.Time, count int) {
	if len(f.allUpstreams) == 0 {
		f.allUpstreams = []*fakeUpstream{{id: "u1"}}
	}
	u := f.allUpstreams[0]
	for i := range count {
		u.coldArrivals = append(u.coldArrivals, coldArrival{at: start.Add(time.Duration(i) * 900 * time.Millisecond / time.Duration(count))})
	}
}

// TestCheckInvariantsReportsViolations guards against checks that never fail: each
// violation must be reported, and behavior that is permitted must not be.
func TestCheckInvariantsReportsViolations(t *testing.T) {
	for name, tt := range map[string]struct {
		kind    requestKind
		violate func(f *fleet, r *requestRecord, run *upstreamRun)
		want    string
	}{
		"no violation": {nonIdempotentRequest, func(*fleet, *requestRecord, *upstreamRun) {}, ""},
		"second run": {nonIdempotentRequest, func(f *fleet, _ *requestRecord, run *upstreamRun) {
			second := *run
			f.runLog.runs = append(f.runLog.runs, &second)
		}, "ran 2 times"},
		"permitted second run": {resumableStream, func(f *fleet, _ *requestRecord, run *upstreamRun) {
			second := *run
			f.runLog.runs = append(f.runLog.runs, &second)
		}, ""},
		"refused and ran":   {nonIdempotentRequest, func(_ *fleet, r *requestRecord, _ *upstreamRun) { r.status = 503 }, "refused with 503 and ran"},
		"short response":    {resumableStream, func(_ *fleet, r *requestRecord, _ *upstreamRun) { r.body = eventText(r.id, 1) }, "differs from the expected one"},
		"mixed responses":   {resumableStream, func(_ *fleet, r *requestRecord, _ *upstreamRun) { r.body = eventText("other", 1); r.complete = false }, "not a prefix of the expected one"},
		"no seal":           {idempotentRequest, func(_ *fleet, r *requestRecord, _ *upstreamRun) { r.hasSeal = false }, "without a seal"},
		"valid key refused": {idempotentRequest, func(f *fleet, r *requestRecord, _ *upstreamRun) { r.status = 401; f.runLog.runs = nil }, "valid key was refused"},
		"route missing":     {idempotentRequest, func(f *fleet, r *requestRecord, _ *upstreamRun) { r.status = 404; f.runLog.runs = nil }, "not found"},
		"unknown request":   {idempotentRequest, func(f *fleet, _ *requestRecord, _ *upstreamRun) { f.generator.records = nil }, "run without a request"},
		"wrong account":     {idempotentRequest, func(_ *fleet, _ *requestRecord, run *upstreamRun) { run.account = "forged" }, "for account forged"},
		"key forwarded":     {idempotentRequest, func(_ *fleet, _ *requestRecord, run *upstreamRun) { run.keyForwarded = true }, "forwarded"},
		"body lost":         {nonIdempotentRequest, func(_ *fleet, _ *requestRecord, run *upstreamRun) { run.body = "" }, "changed"},
		"run at a draining upstream": {idempotentRequest, func(f *fleet, _ *requestRecord, run *upstreamRun) {
			f.drainingSince["u1"] = run.startedAt.Add(-3 * time.Second)
		}, "began to drain"},
		"run at a draining upstream, from a disturbed host": {idempotentRequest, func(f *fleet, _ *requestRecord, run *upstreamRun) {
			f.drainingSince["u1"] = run.startedAt.Add(-3 * time.Second)
			f.disturbances = []disturbance{{component: hostComponent(0), from: run.startedAt.Add(-2 * time.Second), to: run.startedAt}}
		}, ""},
		"revoked key": {idempotentRequest, func(f *fleet, r *requestRecord, _ *upstreamRun) {
			f.keys["key-1"].revokedAt = r.sentAt.Add(-3 * time.Second)
		}, "revoked"},
		"refused key accepted again": {idempotentRequest, func(f *fleet, r *requestRecord, _ *upstreamRun) {
			f.keys["key-1"].revokedAt = r.sentAt.Add(-time.Second)
			f.generator.records = append(f.generator.records, &requestRecord{
				id: "x-2", kind: idempotentRequest, key: "key-1", startNumber: 1, status: 401, complete: true, sentAt: r.sentAt.Add(-900 * time.Millisecond), endedAt: r.sentAt.Add(-800 * time.Millisecond),
			})
		}, "had refused its key"},
		"response lost": {idempotentRequest, func(_ *fleet, r *requestRecord, _ *upstreamRun) { r.status, r.complete = 0, false }, "without a complete response"},
		"interrupted by a planned stop": {idempotentRequest, func(f *fleet, r *requestRecord, _ *upstreamRun) {
			r.status, r.complete, r.hostStoppedAt = 0, false, r.sentAt.Add(time.Millisecond)
			f.disturbances = []disturbance{{component: hostComponent(0), from: r.hostStoppedAt, to: r.endedAt, lossless: true}}
		}, "interrupted by a planned stop"},
		"interrupted by a kill": {idempotentRequest, func(f *fleet, r *requestRecord, _ *upstreamRun) {
			r.status, r.complete = 0, false
			f.disturbances = []disturbance{{component: hostComponent(0), from: r.sentAt, to: r.endedAt}}
		}, ""},
		"run continues after abandonment": {resumableStream, func(_ *fleet, r *requestRecord, run *upstreamRun) {
			r.status, r.complete, r.abandonedAt = 0, false, r.sentAt.Add(10*time.Millisecond)
			run.endedAt = r.abandonedAt.Add(2 * time.Second)
		}, "still ran"},
		"run in an evacuated domain": {idempotentRequest, func(f *fleet, _ *requestRecord, run *upstreamRun) {
			evacuateBefore(f, run, 6*time.Second)
		}, "was evacuated"},
		"run soon after an evacuation": {idempotentRequest, func(f *fleet, _ *requestRecord, run *upstreamRun) {
			evacuateBefore(f, run, 4*time.Second)
		}, ""},
		"run after the end of an evacuation": {idempotentRequest, func(f *fleet, _ *requestRecord, run *upstreamRun) {
			evacuateBefore(f, run, 6*time.Second)
			f.evacuation.removedAt = run.startedAt.Add(-time.Millisecond)
		}, ""},
		"run in an evacuated domain, from a disturbed host": {idempotentRequest, func(f *fleet, _ *requestRecord, run *upstreamRun) {
			evacuateBefore(f, run, 6*time.Second)
			f.disturbances = []disturbance{{component: hostComponent(0), from: run.startedAt.Add(-2 * time.Second), to: run.startedAt}}
		}, ""},
		"too many requests at a cold upstream": {idempotentRequest, func(f *fleet, _ *requestRecord, run *upstreamRun) {
			addColdArrivals(f, run.startedAt, maxColdArrivals+1)
		}, "while cold"},
		"as many requests as a cold upstream accepts": {idempotentRequest, func(f *fleet, _ *requestRecord, run *upstreamRun) {
			addColdArrivals(f, run.startedAt, maxColdArrivals)
			addColdArrivals(f, run.startedAt.Add(2*time.Second), maxColdArrivals)
		}, ""},
		"too many requests at a cold upstream, over a link that was held up": {idempotentRequest, func(f *fleet, _ *requestRecord, run *upstreamRun) {
			addColdArrivals(f, run.startedAt, maxColdArrivals+1)
			f.disturbances = []disturbance{{component: linkComponent("u1"), from: run.startedAt.Add(-time.Second), to: run.startedAt.Add(time.Millisecond)}}
		}, ""},
		"unexpected exit": {idempotentRequest, func(f *fleet, _ *requestRecord, _ *upstreamRun) { f.hosts[0].unexpectedExits = []string{"died"} }, "died"},
		"retry budget exceeded": {idempotentRequest, func(f *fleet, _ *requestRecord, run *upstreamRun) {
			for range retryExtra + 2 {
				second := *run
				f.runLog.runs = append(f.runLog.runs, &second)
			}
		}, "retries"},
	} {
		f, r, run := newSuccessfulRequest(tt.kind)
		tt.violate(f, r, run)
		got := strings.Join(f.checkInvariants(), "; ")
		if (tt.want == "") != (got == "") || !strings.Contains(got, tt.want) {
			t.Errorf("%s: violations %q, want %q", name, got, tt.want)
		}
	}
}
