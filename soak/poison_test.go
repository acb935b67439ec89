package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"mulberrydyke/fault"
)

const (
	// poisonPart is a part of prompts that crashes each upstream poisonDelay after it has
	// begun to answer.
	poisonPart  = "poison"
	poisonDelay = 30 * time.Millisecond
	// poisonInterval is the mean time between two requests with poisonPart.
	poisonInterval = 150 * time.Millisecond
	// poisonSeeds is the number of seeds of which one has such requests.
	poisonSeeds = 3
	// poisonNewsTime after maxPoisonCrashes crashes, at most maxLatePoison such requests
	// may still reach upstreams, sent by hosts without disturbances.
	poisonNewsTime   = 3 * time.Second
	maxPoisonCrashes = 5
	maxLatePoison    = 3
	// maxSoundRefused is the share of the other streams that may be refused for it.
	maxSoundRefused = 0.05
)

// poisoned reports whether a request has poisonPart.
func (r *requestRecord) poisoned() bool { return strings.Contains(r.prompt, poisonPart) }

// sendPoison sends requests with poisonPart, no two alike, to random hosts until ctx is
// done.
func (g *loadGenerator) sendPoison(ctx context.Context, rng *rand.Rand) {
	for ctx.Err() == nil {
		time.Sleep(time.Duration(rng.Int64N(int64(2 * poisonInterval))))
		cc := g.dial(rng)
		if cc == nil {
			continue
		}
		k := []requestKind{resumableStream, nonResumableStream}[rng.IntN(2)]
		r := g.newRecord(k, g.fleet.newestKey(), 5)
		r.prompt = fmt.Sprintf("rules:300,%s:40,own%d:20", poisonPart, rng.Uint64())
		g.send(cc, r, 0)
		_ = cc.conn.Close()
	}
}

// crashPoisoned ends an upstream's process, which starts again after a while under the
// same ID.
func (f *fleet) crashPoisoned(u *fakeUpstream) {
	u.mu.Lock()
	if u.crashed {
		u.mu.Unlock()
		return
	}
	u.crashed = true
	u.mu.Unlock()
	endDisturbance := f.beginDisturbance(u.id, false)
	f.logf("%s: crashed by %s", u.id, poisonPart)
	f.mu.Lock()
	f.poisonCrashes = append(f.poisonCrashes, time.Now())
	f.mu.Unlock()
	u.proxy.SetMode(fault.Refuse)
	go func() {
		defer endDisturbance()
		time.Sleep(1500 * time.Millisecond)
		u.mu.Lock()
		u.startedAt, u.crashed = time.Now(), false
		u.mu.Unlock()
		u.proxy.SetMode(fault.Pass)
		f.relist(u)
	}()
}

// checkPoison checks that few requests with poisonPart reach upstreams once it has crashed
// some, and that the other streams are not refused for it.
func (f *fleet) checkPoison() []string {
	if len(f.poisonCrashes) == 0 {
		return nil
	}
	var violations []string
	late, streams, refused := 0, 0, 0
	sentTo := map[string]*requestRecord{}
	for _, r := range f.generator.records {
		sentTo[r.id] = r
		if r.prompt == "" || r.poisoned() {
			continue
		}
		streams++
		if r.status == 503 && strings.Contains(r.body, "crashed upstreams") {
			refused++
		}
	}
	for _, run := range f.runLog.runs {
		if !run.poisoned || len(f.poisonCrashes) < maxPoisonCrashes {
			continue
		}
		known := f.poisonCrashes[maxPoisonCrashes-1]
		if run.startedAt.After(known.Add(poisonNewsTime)) && f.undisturbed(sentTo[run.id].hostIndex, known, run.startedAt) {
			late++
		}
	}
	if late > maxLatePoison {
		violations = append(violations, fmt.Sprintf("%d requests with %s ran %v after it had crashed %d upstreams; %d crashes in all", late, poisonPart, poisonNewsTime, maxPoisonCrashes, len(f.poisonCrashes)))
	}
	if float64(refused) > maxSoundRefused*float64(streams) {
		violations = append(violations, fmt.Sprintf("%d of %d sound streams were refused because of %s", refused, streams, poisonPart))
	}
	f.poisonSummary = fmt.Sprintf(", %d crashes by %s, %d late, %d of %d sound streams refused", len(f.poisonCrashes), poisonPart, late, refused, streams)
	return violations
}
