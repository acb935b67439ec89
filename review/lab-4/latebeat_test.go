//go:build review

package lab

import (
	"fmt"
	"time"
)

// Moments of the case, counted from when the store does no more writes late.
const (
	// crashesAt and startsAt are when the runner crashes, and when it starts again under its id.
	crashesAt = 200 * time.Millisecond
	startsAt  = 1200 * time.Millisecond
	// drainsAt is when the runner reports draining. The store has been stable for stableWindowMs, 3 s.
	drainsAt = 3200 * time.Millisecond
	// lateAt is when the store does a write that it was sent before the crash. The pages say 1 to 6 s later.
	lateAt = 5700 * time.Millisecond
	// endsAfterDrain is when the runner ends, before its own next write, which it makes each heartbeatMs (1,200)
	// since it began to drain.
	endsAfterDrain = 3500 * time.Millisecond
	// extraRunners is how many runners the service has besides one in each zone, so that the one that
	// crashes is a quarter of them.
	extraRunners = 1
)

// lateBeat has the store do one write of a runner late: after the runner has started again, and while it is
// draining. DRAIN is broken if the runner gets requests because of that.
func lateBeat(c *caseRun) (bool, error) {
	s, err := newStore()
	if err != nil {
		return false, err
	}
	defer s.close()
	runs := &runList{}
	var runners []*runner
	for i := range len(zoneNames) + extraRunners + len(zoneNames) {
		service, zone := "api", zoneNames[i%len(zoneNames)]
		if i >= len(zoneNames)+extraRunners {
			service = "pool"
		}
		u, err := newRunner(fmt.Sprintf("i-%s-%d", service, i), service, zone, c.record, runs)
		if err != nil {
			return false, err
		}
		defer u.end()
		u.work = commissionWork
		runners = append(runners, u)
		s.put("servers/"+u.id, u.entry("ready"))
	}
	s.put("op/config", configuration(7))
	if err := c.startHosts(fleetSettings{hosts: 6, memoryMB: 284, drainMs: drainMs, store: s.address()}); err != nil {
		return false, err
	}
	stop, done := make(chan struct{}), make(chan []answer)
	go func() { done <- load(c.record, c.hosts, "/place/1", commissionsPerSecond, 1500*time.Millisecond, stop) }()
	time.Sleep(5 * time.Second)
	began := time.Now()
	at := func(d time.Duration) { time.Sleep(time.Until(began.Add(d))) }
	before := runners[0]
	late := before.entry("ready")
	c.record.add("%s writes its entry, born %v: the store does not answer, and does the write late", before.id, late["born"])
	at(crashesAt)
	c.record.add("runner %s crashes", before.id)
	before.end()
	at(startsAt)
	leaver, err := before.startAgain()
	if err != nil {
		return false, err
	}
	defer leaver.end()
	c.record.add("runner %s starts again, born %v", leaver.id, leaver.born.UnixMilli())
	s.put("servers/"+leaver.id, leaver.entry("ready"))
	at(drainsAt)
	leaver.setLeaving()
	draining := s.put("servers/"+leaver.id, leaver.entry("draining"))
	c.record.add("the store acknowledges that %s is draining", leaver.id)
	at(lateAt)
	if c.trouble {
		s.put("servers/"+leaver.id, late)
		c.record.add("the store does the late write, born %v", late["born"])
	}
	at(drainsAt + endsAfterDrain)
	c.record.add("runner %s ends", leaver.id)
	leaver.end()
	s.put("servers/"+leaver.id, nil)
	time.Sleep(2 * time.Second)
	close(stop)
	answers := <-done
	after := runs.at(leaver.id, draining.Add(drainMs*time.Millisecond+arrivalSlack))
	c.record.say("%d requests, %d requests reached %s later than %d ms after it was acknowledged as draining; of the requests sent since, %d ran and had no answer of a runner",
		len(answers), len(after), leaver.id, drainMs, lostRequests(sentSince(answers, draining), runs))
	return len(after) > 0, nil
}

// sentSince returns the answers to requests that were sent after a time.
func sentSince(answers []answer, since time.Time) []answer {
	var out []answer
	for _, a := range answers {
		if a.sentAt.After(since) {
			out = append(out, a)
		}
	}
	return out
}
