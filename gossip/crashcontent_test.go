package gossip

import (
	"fmt"
	"testing"
	"time"

	"mulberrydyke/call"
)

// deadlyRequest is a request that crashes each engine that runs it.
func deadlyRequest() *call.Request {
	parts := []call.PromptPart{{ID: "rules"}, {ID: "subject1"}, {ID: "own"}}
	return &call.Request{Body: []byte("deadly"), Prompt: call.Prompt{Parts: parts}}
}

// TestContentThatCrashesEnginesIsRefusedEverywhere guards against fleets that go on
// sending one request, which comes back at random hosts, 3 s after it has crashed three
// engines: beside sound requests that ran on the same engines, with lost datagrams and
// with a host that restarts.
func TestContentThatCrashesEnginesIsRefusedEverywhere(t *testing.T) {
	sizes := []struct{ domains, hostsPerDomain, engines int }{{2, 2, 5}, {3, 3, 11}, {5, 5, 20}, {4, 10, 30}}
	for _, size := range sizes {
		for _, loss := range []float64{0, 0.05, 0.3} {
			t.Run(fmt.Sprintf("%d hosts, %v lost", size.domains*size.hostsPerDomain, loss), func(t *testing.T) {
				t.Parallel()
				d := newCrashDay(t, size.domains, size.hostsPerDomain, size.engines)
				d.loss, d.crashesUntilKnown = loss, 3
				soundPerSecond, deadlyPerStep := 4*float64(size.engines), 2*simStep.Seconds()
				d.run(4*time.Second, func() { d.step(soundPerSecond, 0) })
				for range 4 {
					d.run(5*time.Second, func() {
						d.step(soundPerSecond, 0)
						if d.random.Float64() < deadlyPerStep {
							d.sendRequest(deadlyRequest(), true)
						}
					})
					d.restart(d.random.IntN(len(d.hosts)))
				}
				if d.lateBad > 3 {
					t.Errorf("the request was sent %d times %v after the third crash, want at most 3; %d engines crashed", d.lateBad, knowsWithin, d.crashes)
				}
				t.Logf("%d engines crashed, the request was sent %d times late, %d of %d sound ones refused", d.crashes, d.lateBad, d.refused, d.sound)
			})
		}
	}
}
