//go:build review

package lab

import (
	"fmt"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// takeoverRounds is how often the same hosts are killed.
	takeoverRounds = 6
	// stormGap is the time between two changes of the configuration.
	stormGap = 80 * time.Millisecond
	// killAfter is the time from the first change to the kill.
	killAfter = 240 * time.Millisecond
	// downTime is how long killed hosts are down.
	downTime = 2 * time.Second
	// watchTime is how long after the second change requests with the revoked key are sent.
	watchTime = 4 * time.Second
	// restTime is the time between the last request of a round and the next round.
	restTime = 4500 * time.Millisecond
	// probeGap is the time between two requests of a client.
	probeGap = 5 * time.Millisecond
)

// Positions of the hosts of the zone whose readers are killed.
const (
	firstVictim   = 3
	secondVictim  = 4
	firstObserved = 5
	lastObserved  = 6
)

// playTakeover kills the two hosts of a zone that read the store, right after a key was revoked,
// and sends requests with that key to the other hosts of the zone.
func playTakeover(rec *record) (int, error) {
	s, err := newStore()
	if err != nil {
		return exitNotRun, err
	}
	defer s.close()
	log := &runLog{runs: map[string][]*run{}}
	for i, zone := range []string{"kgn-a", "kgn-b", "kgn-c"} {
		r := &runner{id: fmt.Sprintf("i-app-%d", i+1), service: "desk-app", zone: zone, log: log}
		if err := r.listen(); err != nil {
			return exitNotRun, err
		}
		defer r.listener.Close()
		if _, err := s.put("servers/"+r.id, r.entry()); err != nil {
			return exitNotRun, err
		}
	}
	config := &desk{version: 1, keys: []string{"key-0", "key-1"}}
	if _, err := s.put("op/config", config.value()); err != nil {
		return exitNotRun, err
	}
	zones := []string{"kgn-a", "kgn-a", "kgn-a", "kgn-b", "kgn-b", "kgn-b", "kgn-b", "kgn-c", "kgn-c"}
	f, err := newFleet(rec, s, zones)
	if err != nil {
		return exitNotRun, err
	}
	defer f.close()
	if err := f.awaitReady(10 * time.Second); err != nil {
		return exitNotRun, err
	}
	time.Sleep(restTime)
	broken := 0
	for round := range takeoverRounds {
		n, err := playRound(rec, f, log, config, round)
		if err != nil {
			return exitNotRun, err
		}
		broken += n
		time.Sleep(restTime)
	}
	rec.printf("%d requests ran with a revoked key later than configApplyMs after the acknowledgement", broken)
	if broken > 0 {
		return exitBroken, nil
	}
	return exitHeld, nil
}

// playRound changes the configuration twice and kills the victims. It returns how many requests
// broke the rule.
func playRound(rec *record, f *fleet, log *runLog, config *desk, round int) (int, error) {
	revoked := config.keys[0]
	var stop atomic.Bool
	var wg sync.WaitGroup
	answers := make([][]answer, lastObserved+1)
	for i := firstObserved; i <= lastObserved; i++ {
		wg.Go(func() { answers[i] = probe(f.hosts[i], fmt.Sprintf("r%d-h%d", round, i), revoked, &stop) })
	}
	time.Sleep(200 * time.Millisecond)
	began := time.Now()
	config.version += 3
	config.idleRoutes++
	if _, err := f.store.put("op/config", config.value()); err != nil {
		return 0, err
	}
	time.Sleep(time.Until(began.Add(stormGap)))
	config.version += 2
	config.keys = []string{config.keys[1], fmt.Sprintf("key-%d", round+2)}
	acked, err := f.store.put("op/config", config.value())
	if err != nil {
		return 0, err
	}
	rec.printAt(acked, "round %d: version %d acknowledged, %s revoked", round, config.version, revoked)
	time.Sleep(time.Until(began.Add(killAfter)))
	if err := killForAWhile(rec, f); err != nil {
		return 0, err
	}
	time.Sleep(time.Until(acked.Add(watchTime)))
	stop.Store(true)
	wg.Wait()
	broken := 0
	for i := firstObserved; i <= lastObserved; i++ {
		broken += judgeProbes(rec, f.hosts[i], answers[i], log, acked)
	}
	return broken, nil
}

// killForAWhile kills the victims at the same moment, unless the case is played without its
// disruption, and starts them again.
func killForAWhile(rec *record, f *fleet) error {
	victims := []*host{f.hosts[firstVictim], f.hosts[secondVictim]}
	if !withTrouble() {
		return nil
	}
	rec.printf("SIGKILL to %s", names(victims))
	for _, h := range victims {
		h.signal(syscall.SIGKILL)
	}
	for _, h := range victims {
		<-h.exited
	}
	time.Sleep(downTime)
	for _, h := range victims {
		if err := h.start(); err != nil {
			return err
		}
	}
	rec.printf("started again: %s", names(victims))
	return nil
}

// probe sends requests with a key to a host until it is told to stop.
func probe(h *host, prefix, key string, stop *atomic.Bool) []answer {
	var out []answer
	var c *client
	for n := 0; !stop.Load(); n++ {
		if c == nil {
			var err error
			if c, err = dialClient(h.frontAddress()); err != nil {
				time.Sleep(probeGap)
				continue
			}
		}
		a := c.send(request{id: fmt.Sprintf("%s-%d", prefix, n), method: "GET", path: "/box-lookup/1", key: key, deadline: 2 * time.Second})
		out = append(out, a)
		if a.err != nil || a.closes {
			c.close()
			c = nil
		}
		time.Sleep(probeGap)
	}
	if c != nil {
		c.close()
	}
	return out
}

// judgeProbes counts the requests that were sent later than configApplyMs after the
// acknowledgement and ran nevertheless.
func judgeProbes(rec *record, h *host, answers []answer, log *runLog, acked time.Time) int {
	broken, sent := 0, 0
	counts := map[int]int{}
	recordSpans(rec, h, answers, log)
	for _, a := range answers {
		counts[a.status]++
		late := a.sentAt.Sub(acked)
		if late <= applyTime {
			continue
		}
		sent++
		for _, x := range log.of(a.id) {
			broken++
			rec.printAt(a.sentAt, "request %s sent to %s %.3f s after the acknowledgement", a.id, h.name, late.Seconds())
			rec.printAt(x.at, "request %s runs at %s; the client gets %d", a.id, x.runner, a.status)
		}
	}
	rec.printf("%s: %d requests, by status %v; %d sent later than the bound, %d of them ran", h.name, len(answers), counts, sent, broken)
	return broken
}

// recordSpans records the requests of one client. Those that follow each other with the same
// outcome share a line.
func recordSpans(rec *record, h *host, answers []answer, log *runLog) {
	for from := 0; from < len(answers); {
		to := from
		for to+1 < len(answers) && answers[to+1].status == answers[from].status && len(log.of(answers[to+1].id)) == len(log.of(answers[from].id)) {
			to++
		}
		rec.printAt(answers[from].sentAt, "%s: requests %s to %s, the last sent %.3f s later: each answered %d, run %d times",
			h.name, answers[from].id, answers[to].id, answers[to].sentAt.Sub(answers[from].sentAt).Seconds(), answers[from].status, len(log.of(answers[from].id)))
		from = to + 1
	}
}
