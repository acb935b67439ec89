package fault

import (
	"testing"
	"time"

	"mulberrydyke/plan"
	"mulberrydyke/standin"
)

// TestPoisonIsToldAfterPartition guards against hosts that never hear of a request that
// crashed upstreams while they were out of reach: it is told to a domain that was cut off
// at the time, once it is back.
func TestPoisonIsToldAfterPartition(t *testing.T) {
	o := threeDomainOptions()
	o.enginesPerDomain = 2
	f := newFleet(t, o)
	for _, e := range f.engines {
		e.SetFaults(standin.EngineFaults{PoisonText: "deadly", RestartTime: plan.Duration(300 * time.Millisecond)})
	}
	f.setDomainLinks(1, Disconnect)
	time.Sleep(2 * time.Second) // the domains find each other out of reach
	poison := call{class: "draft", prompt: "a deadly draft", outputTokens: 20}
	f.eventually(10*time.Second, "the request is quarantined", func() bool { return f.send(f.hosts[0], poison).Code == "quarantined" })
	f.setDomainLinks(1, Pass)
	f.eventually(10*time.Second, "the domain that was cut off knows of it", func() bool {
		for _, h := range f.hosts[3:6] {
			s, ok := f.status(h)
			if !ok || len(s.Suspects) != 1 || len(s.Suspects[0].Crashes) < 2 {
				return false
			}
		}
		return true
	})
}
