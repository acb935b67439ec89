//go:build review

package lab

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// uploadBytes is the length of a long body: the largest on the sheet.
	uploadBytes = 110000
	// lateRead is how long a runner leaves the rest of a long body unread while it answers.
	lateRead      = 2 * time.Second
	uploadStreams = 6
	// smallWindow is the receive buffer of the runner's connections, in bytes.
	smallWindow = 32 << 10
)

// playUpload lets clients send requests with long bodies, whose runner begins to answer before
// it has read them, and stops the host as planned meanwhile.
func playUpload(rec *record) (int, error) {
	s, err := newStore()
	if err != nil {
		return exitNotRun, err
	}
	defer s.close()
	log := &runLog{runs: map[string][]*run{}}
	r := &runner{id: "i-pool-1", service: "mulberry-pool", zone: "kgn-a", log: log, window: smallWindow, events: 30, eventGap: 100 * time.Millisecond}
	if withTrouble() {
		r.bodyDelay = lateRead
	}
	if err := r.listen(); err != nil {
		return exitNotRun, err
	}
	defer r.listener.Close()
	config := &desk{version: 1, keys: []string{"key-1"}}
	if _, err := s.put("op/config", config.value()); err != nil {
		return exitNotRun, err
	}
	if _, err := s.put("servers/"+r.id, r.entry()); err != nil {
		return exitNotRun, err
	}
	f, err := newFleet(rec, s, []string{"kgn-a", "kgn-b"})
	if err != nil {
		return exitNotRun, err
	}
	defer f.close()
	if err := f.awaitReady(10 * time.Second); err != nil {
		return exitNotRun, err
	}
	time.Sleep(touchTime + time.Second)
	return uploadAndStop(rec, f, log)
}

func uploadAndStop(rec *record, f *fleet, log *runLog) (int, error) {
	answers := make([]answer, uploadStreams)
	var wg sync.WaitGroup
	for i := range answers {
		c, err := dialClient(f.hosts[0].frontAddress())
		if err != nil {
			return exitNotRun, err
		}
		defer c.close()
		wg.Go(func() {
			answers[i] = c.send(request{
				id: fmt.Sprintf("draft-%d", i), method: "POST", path: "/label-draft/1", key: "key-1", deadline: 4 * time.Second,
				headers: fmt.Sprintf("Model: m\r\nToken-Count: 900,40\r\nPrompt-Prefix: aa%d:300,bb%d:600\r\n", i, i), body: strings.Repeat("x", uploadBytes),
			})
		})
	}
	time.Sleep(300 * time.Millisecond)
	rec.printf("SIGTERM to %s", f.hosts[0].name)
	f.hosts[0].signal(syscall.SIGTERM)
	wg.Wait()
	time.Sleep(lateRead) // until the runner has read what it still gets
	broken := false
	for _, a := range answers {
		rec.printAt(a.sentAt, "request %s sent, %d bytes", a.id, uploadBytes)
		for _, x := range log.of(a.id) {
			rec.printAt(x.at, "request %s runs at %s: %s, %d bytes read", a.id, x.runner, x.ended, x.bodyBytes)
		}
		rec.printAt(a.endedAt, "request %s ends after %.3f s: status %d, %d bytes of the answer, complete %v, error %v", a.id, a.endedAt.Sub(a.sentAt).Seconds(), a.status, len(a.body), a.complete, a.err)
		broken = broken || !a.complete && len(log.of(a.id)) > 0
	}
	if broken {
		return exitBroken, nil
	}
	return exitHeld, nil
}
