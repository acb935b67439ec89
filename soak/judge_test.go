package soak

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// settleTime is how long the effects of a disturbance may outlast it.
const settleTime = 4 * time.Second

// undisturbed reports whether no disturbance of the host, the store or the machine
// overlaps the time span, counting each until settleTime after its end.
func (f *fleet) undisturbed(hostIndex int, from, to time.Time) bool {
	for _, d := range f.disturbances {
		relevant := d.component == hostComponent(hostIndex) || d.component == storeComponent || d.component == machineComponent
		if relevant && d.from.Before(to) && d.to.After(from.Add(-settleTime)) {
			return false
		}
	}
	return true
}

// onlyLosslessDisturbances reports whether every disturbance that overlaps the time span
// is lossless, counting each until settleTime after its end. Disturbances of other hosts
// don't count.
func (f *fleet) onlyLosslessDisturbances(hostIndex int, from, to time.Time) bool {
	for _, d := range f.disturbances {
		if d.lossless || strings.HasPrefix(d.component, "host ") && d.component != hostComponent(hostIndex) {
			continue
		}
		if d.from.Before(to) && d.to.After(from.Add(-settleTime)) {
			return false
		}
	}
	return true
}

// checkInvariants checks what callers and upstreams recorded. It returns a description
// of each violation.
func (f *fleet) checkInvariants() []string {
	runs := map[string][]*upstreamRun{}
	for _, r := range f.runLog.runs {
		runs[r.id] = append(runs[r.id], r)
	}
	var violations []string
	records := map[string]*requestRecord{}
	for _, r := range f.generator.records {
		records[r.id] = r
		for _, violation := range f.checkRecord(r, runs[r.id]) {
			violations = append(violations, fmt.Sprintf("%6.2f %s at host %d: %s", r.sentAt.Sub(f.startedAt).Seconds(), r.id, r.hostIndex, violation))
		}
	}
	for _, r := range f.runLog.runs {
		if violation := f.checkRun(r, records[r.id]); violation != "" {
			violations = append(violations, fmt.Sprintf("%6.2f %s at %s: %s", r.startedAt.Sub(f.startedAt).Seconds(), r.id, r.upstream, violation))
		}
	}
	for _, h := range f.hosts {
		violations = append(violations, h.unexpectedExits...)
	}
	violations = append(violations, f.checkKeyRegression(runs)...)
	violations = append(violations, f.checkPoison()...)
	violations = append(violations, f.checkLimit()...)
	violations = append(violations, f.checkDrains(runs)...)
	violations = append(violations, f.checkEvacuation(records)...)
	violations = append(violations, f.checkCold()...)
	return append(violations, f.checkRetryBudget(runs)...)
}

// checkRecord checks one request from the point of view of its caller.
func (f *fleet) checkRecord(r *requestRecord, runs []*upstreamRun) []string {
	var violations []string
	if !r.kind.retryable() && len(runs) > 1 {
		violations = append(violations, fmt.Sprintf("ran %d times", len(runs)))
	}
	switch r.status {
	case 408, 421, 429, 503:
		if !r.kind.retryable() && len(runs) > 0 {
			violations = append(violations, fmt.Sprintf("refused with %d and ran", r.status))
		}
	case 200:
		if r.complete && r.body != wantResponse(r) {
			violations = append(violations, fmt.Sprintf("complete response of %d bytes differs from the expected one", len(r.body)))
		}
		if !r.complete && !strings.HasPrefix(wantResponse(r), r.body) {
			violations = append(violations, "partial response is not a prefix of the expected one")
		}
		if !r.hasSeal {
			violations = append(violations, "successful response without a seal")
		}
	case 401:
		lifetime := f.keys[r.key]
		if r.sentAt.After(lifetime.addedAt.Add(applyTime)) && (lifetime.revokedAt.IsZero() || r.endedAt.Before(lifetime.revokedAt)) && f.undisturbed(r.hostIndex, lifetime.addedAt, r.endedAt) {
			violations = append(violations, "valid key was refused")
		}
	case 404:
		violations = append(violations, "route was not found")
	}
	return append(violations, f.checkLoss(r, runs)...)
}

// checkLoss checks that a request which ran got a complete response, unless its caller
// abandoned it or there was a disturbance that is not lossless. A request that is sent
// more than three seconds after SIGTERM may be lost.
func (f *fleet) checkLoss(r *requestRecord, runs []*upstreamRun) []string {
	if r.complete || !r.abandonedAt.IsZero() || len(runs) == 0 || !f.onlyLosslessDisturbances(r.hostIndex, r.sentAt, r.endedAt) {
		return nil
	}
	if r.hostStoppedAt.IsZero() {
		return []string{"connection ended without a complete response: " + r.err}
	}
	if r.sentAt.After(r.hostStoppedAt.Add(3 * time.Second)) {
		return nil
	}
	return []string{"interrupted by a planned stop: " + r.err}
}

// checkRun checks one run from the point of view of its upstream.
func (f *fleet) checkRun(run *upstreamRun, request *requestRecord) string {
	if request == nil {
		return "run without a request"
	}
	lifetime := f.keys[request.key]
	drainingSince, draining := f.drainingSince[run.upstream]
	switch {
	case run.account != "acme":
		return "ran for account " + run.account
	case run.keyForwarded:
		return "caller's API key was forwarded"
	case run.path != request.path || run.body != request.sentBody():
		return "path or body changed"
	case draining && run.startedAt.After(drainingSince.Add(applyTime)) && f.undisturbed(request.hostIndex, drainingSince, run.startedAt):
		return fmt.Sprintf("ran %v after the upstream began to drain", run.startedAt.Sub(drainingSince))
	case !lifetime.revokedAt.IsZero() && request.sentAt.After(lifetime.revokedAt.Add(applyTime)) && f.undisturbed(request.hostIndex, lifetime.revokedAt, run.startedAt):
		return fmt.Sprintf("ran with a key that was revoked %v earlier", request.sentAt.Sub(lifetime.revokedAt))
	case !request.abandonedAt.IsZero() && run.startedAt.After(request.abandonedAt.Add(500*time.Millisecond)) && f.onlyLosslessDisturbances(request.hostIndex, request.sentAt, run.startedAt):
		return fmt.Sprintf("started %v after its caller abandoned it", run.startedAt.Sub(request.abandonedAt))
	case !request.abandonedAt.IsZero() && run.endedAt.After(request.abandonedAt.Add(time.Second)) && f.onlyLosslessDisturbances(request.hostIndex, request.sentAt, run.endedAt):
		return fmt.Sprintf("still ran %v after its caller abandoned it", run.endedAt.Sub(request.abandonedAt))
	}
	return ""
}

// checkKeyRegression checks that no process returns to an older list: once it has
// refused a revoked key, it must not accept the key again. Requests that were sent at
// most concurrencySlack after the refusal may overlap it and are not checked.
func (f *fleet) checkKeyRegression(runs map[string][]*upstreamRun) []string {
	type processKey struct {
		hostIndex, startNumber int
		key                    string
	}
	const concurrencySlack = 250 * time.Millisecond
	firstRefusal := map[processKey]time.Time{}
	for _, r := range f.generator.records {
		process := processKey{r.hostIndex, r.startNumber, r.key}
		lifetime := f.keys[r.key]
		// A key that the host may never have learned can be refused without a
		// revocation.
		dueToRevocation := !lifetime.revokedAt.IsZero() && r.sentAt.After(lifetime.revokedAt) && f.undisturbed(r.hostIndex, lifetime.addedAt, lifetime.addedAt.Add(applyTime))
		if r.status != 401 || !dueToRevocation {
			continue
		}
		if refusedAt, ok := firstRefusal[process]; !ok || r.endedAt.Before(refusedAt) {
			firstRefusal[process] = r.endedAt
		}
	}
	var violations []string
	for _, r := range f.generator.records {
		refusedAt, ok := firstRefusal[processKey{r.hostIndex, r.startNumber, r.key}]
		if ok && r.sentAt.After(refusedAt.Add(concurrencySlack)) && len(runs[r.id]) > 0 {
			violations = append(violations, fmt.Sprintf("%s ran at host %d, which had refused its key %v earlier", r.id, r.hostIndex, r.sentAt.Sub(refusedAt)))
		}
	}
	return violations
}

// checkRetryBudget checks that in any window the number of retries stays within
// retryRatio of the number of requests plus retryExtra.
func (f *fleet) checkRetryBudget(runs map[string][]*upstreamRun) []string {
	const window = 10 * time.Second
	var firstRuns, retries []time.Time
	for _, attempts := range runs {
		slices.SortFunc(attempts, func(a, b *upstreamRun) int { return a.startedAt.Compare(b.startedAt) })
		for i, run := range attempts {
			if i == 0 {
				firstRuns = append(firstRuns, run.startedAt)
			} else {
				retries = append(retries, run.startedAt)
			}
		}
	}
	for _, retriedAt := range retries {
		countInWindow := func(starts []time.Time) (count int) {
			for _, startedAt := range starts {
				if !startedAt.After(retriedAt) && startedAt.After(retriedAt.Add(-window)) {
					count++
				}
			}
			return count
		}
		if retryCount, requestCount := countInWindow(retries), countInWindow(firstRuns); float64(retryCount) > retryRatio*float64(requestCount)+retryExtra {
			return []string{fmt.Sprintf("%d retries of %d requests within %v", retryCount, requestCount, window)}
		}
	}
	return nil
}
