package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"
)

const (
	// evacuateTime is the time after the store has acknowledged an evacuation from which
	// nothing more may begin in the domain.
	evacuateTime = 5 * time.Second
	// evacuateSeeds is the number of seeds of which one has an evacuation.
	evacuateSeeds  = 3
	evacuatePrefix = "op/evacuate/"
)

// evacuation is the time span in which the store held the evacuation of a domain. It has not
// ended while removedAt is zero.
type evacuation struct {
	domain               string
	writtenAt, removedAt time.Time
}

// evacuateDomain evacuates the domain of a random upstream once. The evacuation outlasts
// evacuateTime and most other faults.
func (f *fleet) evacuateDomain(ctx context.Context, rng *rand.Rand, latestStart time.Duration) {
	sleep(ctx, time.Duration(rng.Int64N(int64(latestStart))))
	f.mu.Lock()
	domain := f.upstreams[rng.IntN(len(f.upstreams))].domain
	f.evacuation = &evacuation{domain: domain}
	f.evacuation.writtenAt = f.store.put(evacuatePrefix+domain, struct{}{})
	f.mu.Unlock()
	f.logf("domain %s evacuated", domain)
	sleep(ctx, evacuateTime+time.Duration(5000+rng.IntN(3000))*time.Millisecond)
	f.mu.Lock()
	f.evacuation.removedAt = time.Now()
	f.store.put(evacuatePrefix+domain, nil)
	f.mu.Unlock()
	f.logf("domain %s no longer evacuated", domain)
}

// rewriteEvacuation writes the present state of an evacuation that the store has lost. It
// reports whether the key is one of an evacuation.
func (f *fleet) rewriteEvacuation(key string) bool {
	if !strings.HasPrefix(key, evacuatePrefix) {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	var value any
	if f.evacuation.removedAt.IsZero() {
		value = struct{}{}
	}
	f.store.put(key, value)
	return true
}

// checkEvacuation checks that no host begins a request in an evacuated domain unless it was
// disturbed in the last evacuateTime, all of which the evacuation was in force.
func (f *fleet) checkEvacuation(records map[string]*requestRecord) []string {
	e := f.evacuation
	if e == nil {
		return nil
	}
	var violations []string
	checked := 0
	for _, run := range f.runLog.runs {
		r := records[run.id]
		late := run.startedAt.After(e.writtenAt.Add(evacuateTime)) && run.startedAt.Before(e.removedAt)
		if r == nil || !late || !f.undisturbed(r.hostIndex, run.startedAt.Add(settleTime-evacuateTime), run.startedAt) {
			continue
		}
		checked++
		if run.domain == e.domain {
			violations = append(violations, fmt.Sprintf("%s ran at %s through host %d %v after domain %s was evacuated", r.id, run.upstream, r.hostIndex, run.startedAt.Sub(e.writtenAt), e.domain))
		}
	}
	f.evacuationSummary = fmt.Sprintf(", %d runs checked against an evacuation", checked)
	return violations
}
