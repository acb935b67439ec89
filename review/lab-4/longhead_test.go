//go:build review

package lab

import (
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// smallMemoryMB is the memory of a machine of the deployment bluemahoe-labels.
	smallMemoryMB = 134
	// longHeadBytes is the length of the heads, below the 64 KiB that hosts take.
	longHeadBytes = 60000
	// burst is how many times the ordinary load there is, as in the bursts of a quiet day.
	burst = 1.8
	// labelsPerSecond and queriesPerSecond are a ninth of the deployment's requests: one machine's part.
	labelsPerSecond  = burst * 22.1 / 9
	queriesPerSecond = burst * 27.8 / 9
	// labelDeadline and queryDeadline are how long clients wait.
	labelDeadline = 4 * time.Second
	queryDeadline = 12 * time.Second
	// modelRunners is the number of model runners, and soundRunners that of those that answer as they
	// should. The others are half of them, rounded up: share (.5) of garble.
	modelRunners, soundRunners = 9, 4
	// lookupRunners are the sound runners of the other service, lookupCallers its callers, one request at a
	// time each over a kept connection.
	lookupRunners, lookupCallers = 3, 20
	lookupWork                   = 60 * time.Millisecond
	lookupDeadline               = 4 * time.Second
	// maxLost is how many such requests LOST allows to end without an answer.
	maxLost = 3
	// restartDelay is how long the platform takes to start a process again.
	restartDelay = time.Second
	// longHeadTime is for how long requests are sent.
	longHeadTime = 20 * time.Second
)

// longHead answers with a head of many short lines, and a body that goes on until the caller closes.
func longHead(conn net.Conn, id string) bool {
	head := fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: s\r\nTransfer-Encoding: chunked\r\n", id)
	for i := 0; len(head) < longHeadBytes; i++ {
		head = fmt.Appendf(head, "%s:\r\n", strconv.FormatInt(int64(36*36+i), 36))
	}
	if _, err := conn.Write(append(head, "\r\n"...)); err != nil {
		return false
	}
	for i := 1; ; i++ {
		event := fmt.Sprintf("id: %d\ndata: x\n\n", i)
		if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event), event); err != nil {
			return false
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// soundStream answers with a stream of events that ends after a second.
func soundStream(conn net.Conn, id string) bool {
	if _, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n", id); err != nil {
		return false
	}
	for i := 1; i <= 20; i++ {
		event := fmt.Sprintf("id: %d\ndata: x\n\n", i)
		if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event), event); err != nil {
			return false
		}
		time.Sleep(50 * time.Millisecond)
	}
	_, err := conn.Write([]byte("0\r\n\r\n"))
	return err == nil
}

// longHeads has half of the runners of a service answer with long heads and bodies without end. The platform's
// part ends the host where its memory is over that of its machine, and starts it again. LOST is broken if more
// than maxLost lookups, which sound runners of the other service have begun, end without an answer.
func longHeads(c *caseRun) (bool, error) {
	s, err := newStore()
	if err != nil {
		return false, err
	}
	defer s.close()
	runs := &runList{}
	for i := range modelRunners + lookupRunners {
		service := "pool"
		if i >= modelRunners {
			service = "api"
		}
		u, err := newRunner(fmt.Sprintf("i-%s-%d", service, i), service, zoneNames[i%len(zoneNames)], c.record, runs)
		if err != nil {
			return false, err
		}
		defer u.end()
		switch {
		case service == "api":
			u.work = lookupWork
		case c.trouble && i >= soundRunners:
			u.answer = longHead
		default:
			u.answer = soundStream
		}
		s.put("servers/"+u.id, u.entry("ready"))
	}
	s.put("op/config", configuration(7))
	if err := c.startHosts(fleetSettings{hosts: 1, memoryMB: smallMemoryMB, drainMs: drainMs, store: s.address()}); err != nil {
		return false, err
	}
	h, stop := c.hosts[0], make(chan struct{})
	var wg sync.WaitGroup
	var mu sync.Mutex
	var lookups []answer
	wg.Go(func() { load(c.record, c.hosts, "/blazon/1", labelsPerSecond, labelDeadline, stop) })
	wg.Go(func() { load(c.record, c.hosts, "/letter/1", queriesPerSecond, queryDeadline, stop) })
	for range lookupCallers {
		wg.Go(func() {
			got := keepSending(c.record, h, "/status/1", lookupDeadline, stop)
			mu.Lock()
			defer mu.Unlock()
			lookups = append(lookups, got...)
		})
	}
	most, ends, err := c.boundMemory(h, smallMemoryMB<<20, longHeadTime)
	close(stop)
	wg.Wait()
	lost := 0
	for _, a := range lookups {
		if a.err != nil && a.answeredWithin < lookupDeadline && len(runs.of(a.id)) > 0 {
			lost++
		}
	}
	c.record.say("%s took up to %d MB of its own, of %d MB that the machine has, and was ended %d times; of %d lookups %d ended without an answer though a sound runner had begun them",
		h.name, most>>20, smallMemoryMB, ends, len(lookups), lost)
	return lost > maxLost, err
}

// boundMemory does for a time what the platform does: it ends a host that takes more memory than its machine has,
// and starts it again. It returns the most memory that the host took, and how often it was ended.
func (c *caseRun) boundMemory(h *host, limit int, span time.Duration) (most, ends int, err error) {
	for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		now, err := h.ownMemory()
		if err != nil {
			return most, ends, err
		}
		if now > most+(1<<20) {
			c.record.add("%s takes %d MB", h.name, now>>20)
		}
		most = max(most, now)
		if now <= limit {
			continue
		}
		ends++
		c.record.add("%s is ended, since it takes %d MB", h.name, now>>20)
		h.kill()
		time.Sleep(restartDelay)
		if err := h.start(); err != nil {
			return most, ends, err
		}
	}
	return most, ends, nil
}

// ownMemory returns the memory of the process, without that of its program file.
func (h *host) ownMemory() (int, error) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", h.cmd.Process.Pid))
	if err != nil {
		return 0, err
	}
	_, rest, _ := strings.Cut(string(raw), "RssAnon:")
	fields := strings.Fields(rest)
	if len(fields) == 0 {
		return 0, fmt.Errorf("the memory of %s is not known", h.name)
	}
	kilobytes, err := strconv.Atoi(fields[0])
	return kilobytes << 10, err
}
