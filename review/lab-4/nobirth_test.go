//go:build review

package lab

import (
	"fmt"
	"maps"
	"time"
)

const (
	// writtenAt is when the other writer writes an entry, counted from when the store acknowledged that the
	// runner is draining: just after the runner's own second write since, each heartbeatMs (1,200). Its own
	// writes until then change nothing but the sequence, so that the entry stays as it is.
	writtenAt = 2500 * time.Millisecond
	// endsAt is when the runner ends, before its own next write.
	endsAt = 3500 * time.Millisecond
)

// noBirth has another writer replace the entry of a runner that is draining by one that lacks a field: born.
// DRAIN is broken if the runner gets requests because of that.
func noBirth(c *caseRun) (bool, error) {
	s, err := newStore()
	if err != nil {
		return false, err
	}
	defer s.close()
	runs := &runList{}
	var runners []*runner
	for i, zone := range append(zoneNames, zoneNames...) {
		service := "api"
		if i >= len(zoneNames) {
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
	leaver := runners[0]
	leaver.setLeaving()
	draining := s.put("servers/"+leaver.id, leaver.entry("draining"))
	c.record.add("the store acknowledges that %s is draining", leaver.id)
	time.Sleep(time.Until(draining.Add(writtenAt)))
	if c.trouble {
		other := maps.Clone(leaver.entry("ready"))
		delete(other, "born")
		s.put("servers/"+leaver.id, other)
		c.record.add("another writer writes %v", other)
	}
	time.Sleep(time.Until(draining.Add(endsAt)))
	c.record.add("runner %s ends", leaver.id)
	leaver.end()
	s.put("servers/"+leaver.id, nil)
	time.Sleep(2 * time.Second)
	close(stop)
	answers := <-done
	lost := lostRequests(answers, runs)
	late := runs.at(leaver.id, draining.Add(drainMs*time.Millisecond+arrivalSlack))
	c.record.say("%d requests, %d requests reached %s later than %d ms after it was acknowledged as draining; %d requests ran and had no answer of a runner",
		len(answers), len(late), leaver.id, drainMs, lost)
	return len(late) > 0, nil
}

// lostRequests counts the requests that ran, though the client got a failure of the system's own or no answer.
func lostRequests(answers []answer, runs *runList) int {
	lost := 0
	for _, a := range answers {
		if (a.err != nil || a.status >= 500 && a.status != 503) && len(runs.of(a.id)) > 0 {
			lost++
		}
	}
	return lost
}
