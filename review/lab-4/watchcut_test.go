//go:build review

package lab

import (
	"fmt"
	"time"
)

const (
	// drainMs is the bound of the small deployment.
	drainMs = 2000
	// arrivalSlack is allowed for the way from a host to a runner.
	arrivalSlack = 100 * time.Millisecond
	// linger is for how much longer than drainMs a runner goes on after its entry was removed.
	linger = time.Second
	// commissionsPerSecond and commissionWork are as on the sheet of the deployment skjold-fleet:
	// commission-place, 14.9 a second, 15 ms of work.
	commissionsPerSecond = 14.9
	commissionWork       = 15 * time.Millisecond
)

// cuts are the moments at which the store cuts the watches that wait, counted from the removal of the
// runner's entry. A host repeats a watch that was cut at once, over a new connection.
var cuts = []time.Duration{-300 * time.Millisecond, -200 * time.Millisecond, 1200 * time.Millisecond, 1300 * time.Millisecond}

// watchCut has the store cut waiting watches, while a runner leaves that never reports draining: its
// entry is removed. DRAIN is broken if the runner gets requests later than drainMs after that.
func watchCut(c *caseRun) (bool, error) {
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
	leaver, leaves := runners[0], time.Now().Add(time.Second)
	if c.trouble {
		go cutWatches(c, s, leaves)
	}
	time.Sleep(time.Until(leaves))
	gone := s.put("servers/"+leaver.id, nil)
	c.record.add("the store acknowledges that %s is gone", leaver.id)
	time.Sleep(drainMs*time.Millisecond + linger)
	c.record.add("runner %s ends", leaver.id)
	leaver.end()
	time.Sleep(3 * time.Second)
	close(stop)
	answers := <-done
	lost := lostRequests(answers, runs)
	late := runs.at(leaver.id, gone.Add(drainMs*time.Millisecond+arrivalSlack))
	last := time.Duration(0)
	for _, r := range late {
		last = r.at.Sub(gone)
	}
	c.record.say("%d requests, %d watches cut, %d requests reached %s later than %d ms after it was acknowledged as gone, the last one after %v; %d requests ran and had no answer of a runner",
		len(answers), s.cutCount(), len(late), leaver.id, drainMs, last.Round(time.Millisecond), lost)
	return len(late) > 0, nil
}

// cutWatches cuts the watches at the given moments.
func cutWatches(c *caseRun, s *store, leaves time.Time) {
	for _, at := range cuts {
		time.Sleep(time.Until(leaves.Add(at)))
		c.record.add("the store cuts the watches that wait")
		s.cutWatches()
	}
}
