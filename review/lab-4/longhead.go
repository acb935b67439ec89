package main

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

// longHeads has half of the runners of a service answer with long heads and bodies without end. The rule is broken
// if a host takes more memory than its machine has.
func longHeads(c *caseRun) (bool, error) {
	s, err := newStore()
	if err != nil {
		return false, err
	}
	defer s.close()
	runs := &runList{}
	for i := range modelRunners {
		u, err := newRunner(fmt.Sprintf("i-pool-%d", i), "pool", zoneNames[i%len(zoneNames)], c.record, runs)
		if err != nil {
			return false, err
		}
		defer u.end()
		u.answer = soundStream
		if c.trouble && i >= soundRunners {
			u.answer = longHead
		}
		s.put("servers/"+u.id, u.entry("ready"))
	}
	s.put("op/config", configuration(7))
	if err := c.startHosts(fleetSettings{hosts: 1, memoryMB: smallMemoryMB, drainMs: drainMs, store: s.address()}); err != nil {
		return false, err
	}
	h, stop := c.hosts[0], make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() { load(c.record, c.hosts, "/blazon/1", labelsPerSecond, labelDeadline, stop) })
	wg.Go(func() { load(c.record, c.hosts, "/letter/1", queriesPerSecond, queryDeadline, stop) })
	most := 0
	for end := time.Now().Add(longHeadTime); time.Now().Before(end) && h.running(); time.Sleep(50 * time.Millisecond) {
		now, err := h.ownMemory()
		if err != nil {
			return false, err
		}
		if now > most+(1<<20) {
			c.record.add("%s takes %d MB", h.name, now>>20)
		}
		most = max(most, now)
	}
	close(stop)
	h.kill()
	wg.Wait()
	c.record.say("%s took up to %d MB of its own, of %d MB that the machine has", h.name, most>>20, smallMemoryMB)
	return most > smallMemoryMB<<20, nil
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
