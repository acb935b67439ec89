//go:build review

package lab

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// crowdSize is the number of callers in the crowd. Each sends one request after the other
	// on its own connection.
	crowdSize = 800
	// crowdInterval is the time between the starts of two callers of the crowd.
	crowdInterval = 5 * time.Millisecond
	// crowdTime is how long the crowd stays.
	crowdTime = 30 * time.Second
	// hostMemoryMB is the memory of a machine on Blue Mahoe's sheet, and hostMaxFds its descriptors.
	hostMemoryMB = 134
	hostMaxFds   = 4100
	// restartDelay is how long after the end of a process the platform starts it again.
	restartDelay = time.Second
	// memoryInterval is the time between two looks at the memory of the process.
	memoryInterval = 20 * time.Millisecond
	// ordinaryCallers is the number of callers with kept connections whose answers are counted.
	ordinaryCallers = 20
	// maxLost is how many requests of kept connections a machine may lose at any time, by LOST.
	maxLost = 3
	// streamEvents and streamGap make a stream of the length of a clerk-query.
	streamEvents = 49
	streamGap    = 200 * time.Millisecond
	// lookupTime is the work of a box-lookup.
	lookupTime = 60 * time.Millisecond
)

// ordinaryPrefix lists the parts of a prompt as the example of `fleetbench wire` does.
const ordinaryPrefix = "5c1e07a2:800,91bd3f06:410,e4402b7d:250"

// manyParts lists as many parts as fit into a head within maxHeaderBytes.
func manyParts() string { return strings.TrimSuffix(strings.Repeat("1:1,", 3950), ",") }

// crowd is the state of the case.
type crowd struct {
	*world
	ports ports
	// host is the present process.
	host atomic.Pointer[host]
	// ends counts the ends of the process because of its memory.
	ends int
	// arrived counts the ordinary requests by ID that a runner has begun.
	arrived sync.Map
	// kept counts the answered requests of ordinary callers, lost those that a runner had begun
	// and whose connection, a kept one, ended without an answer.
	kept, lost atomic.Int64
	// unread counts the other ordinary requests without an answer.
	unread atomic.Int64
	// crowdAnswers counts the answers to the crowd by status. Zero stands for none.
	crowdAnswers [600]atomic.Int64
}

// playCrowd has a crowd of callers send requests within the limits of the configuration, and counts
// what ordinary callers lose. The platform ends a process that takes more than its memory.
func playCrowd(w *world) (bool, error) {
	c := &crowd{world: w}
	w.store.put("op/config", configuration(7))
	for i := range 9 {
		if _, err := w.addRunner(fmt.Sprintf("i-model-%d", i), engineService, "zone-a", answerStream); err != nil {
			return false, err
		}
	}
	for i := range 3 {
		if _, err := w.addRunner(fmt.Sprintf("i-desk-%d", i), plainService, "zone-a", c.answerLookup); err != nil {
			return false, err
		}
	}
	var err error
	if c.ports, err = newPorts("127.0.0.1"); err != nil {
		return false, err
	}
	if err := c.start(); err != nil {
		return false, err
	}
	end := time.Now().Add(crowdTime)
	var callers sync.WaitGroup
	for i := range ordinaryCallers {
		callers.Go(func() { c.callOrdinary(i, end) })
	}
	callers.Go(func() {
		time.Sleep(3 * time.Second) // past the start of the machine, which is in touch from then on
		for i := range crowdSize {
			callers.Go(func() { c.callCrowd(i, end) })
			time.Sleep(crowdInterval)
		}
	})
	highest, err := c.watchMemory(end)
	callers.Wait()
	w.logf("highest memory of the process, without that of its files: %.0f of %d MB; ended because of it: %d times", highest, hostMemoryMB, c.ends)
	for status := range c.crowdAnswers {
		if n := c.crowdAnswers[status].Load(); n > 0 {
			w.logf("answers to the crowd with status %d (0: none): %d", status, n)
		}
	}
	w.logf("ordinary requests on kept connections: %d answered, %d begun by a runner and not answered (at most %d may be); %d others not answered", c.kept.Load(), c.lost.Load(), maxLost, c.unread.Load())
	return c.lost.Load() > maxLost, err
}

// start starts the process.
func (c *crowd) start() error {
	h, err := c.addHost(hostOptions{name: "front-1", zone: "zone-a", ip: "127.0.0.1", memoryMB: hostMemoryMB, maxFds: hostMaxFds}, c.ports)
	if err != nil {
		return err
	}
	c.host.Store(h)
	return nil
}

// watchMemory does what the platform does: it ends the process when it takes more than its memory,
// and starts it again. It returns the highest memory.
func (c *crowd) watchMemory(end time.Time) (highest float64, err error) {
	for logged := time.Now(); time.Now().Before(end); time.Sleep(memoryInterval) {
		h := c.host.Load()
		if !h.running() {
			return highest, errors.New("the process ended by itself")
		}
		memory := h.memory()
		highest = max(highest, memory)
		if time.Since(logged) > 2*time.Second {
			logged = time.Now()
			c.logf("memory %.0f of %d MB", memory, hostMemoryMB)
		}
		if memory <= hostMemoryMB {
			continue
		}
		c.ends++
		c.logf("memory %.0f MB is over the limit of %d MB: the platform ends the process", memory, hostMemoryMB)
		h.kill()
		time.Sleep(restartDelay)
		if err := c.start(); err != nil {
			return highest, err
		}
	}
	return highest, nil
}

// answerStream answers with a stream of the length of a clerk-query.
func answerStream(conn net.Conn, r *http.Request, _ []byte) {
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: seal\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("Request-Id"))
	for i := range streamEvents {
		time.Sleep(streamGap)
		event := fmt.Sprintf("id: %d\ndata: token\n\n", i+1)
		if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event), event); err != nil {
			return
		}
	}
	_, _ = io.WriteString(conn, "0\r\n\r\n") // an error means that the host has left
}

// answerLookup answers a box-lookup.
func (c *crowd) answerLookup(conn net.Conn, r *http.Request, _ []byte) {
	id := r.Header.Get("Request-Id")
	c.arrived.Store(id, true)
	time.Sleep(lookupTime)
	body := strings.Repeat("b", 800)
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: seal\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// callOrdinary sends lookups on a kept connection. While the process is away it waits.
func (c *crowd) callOrdinary(caller int, end time.Time) {
	var conn net.Conn
	var reader *bufio.Reader
	answered := 0
	for n := 0; time.Now().Before(end); n++ {
		if conn == nil {
			var err error
			if conn, err = net.DialTimeout("tcp4", c.host.Load().front, time.Second); err != nil {
				time.Sleep(100 * time.Millisecond)
				continue
			}
			reader, answered = bufio.NewReader(conn), 0
		}
		id := fmt.Sprintf("ordinary-%d-%d", caller, n)
		_ = conn.SetDeadline(time.Now().Add(5 * time.Second)) // the read shows a closed connection
		_, _ = fmt.Fprintf(conn, "GET %s%s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: 4000\r\nAuthorization: Bearer %s\r\n\r\n", safePrefix, id, hostName, id, apiKey)
		if err := readAnswer(reader, new(int)); err != nil {
			_, begun := c.arrived.Load(id)
			if begun && answered > 0 {
				c.lost.Add(1)
				c.logf("%s, begun by a runner, on a connection with %d answers before: no answer (%v)", id, answered, err)
			} else {
				c.unread.Add(1)
			}
			_ = conn.Close()
			conn = nil
			continue
		}
		answered++
		c.kept.Add(1)
		time.Sleep(50 * time.Millisecond)
	}
	if conn != nil {
		_ = conn.Close()
	}
}

// callCrowd sends clerk-queries.
func (c *crowd) callCrowd(caller int, end time.Time) {
	prefix := ordinaryPrefix
	if c.trouble {
		prefix = manyParts()
	}
	for n := 0; time.Now().Before(end); n++ {
		status := 0
		if conn, err := net.DialTimeout("tcp4", c.host.Load().front, time.Second); err == nil {
			_ = conn.SetDeadline(time.Now().Add(13 * time.Second)) // the read shows a closed connection
			id := fmt.Sprintf("crowd-%d-%d", caller, n)
			_, _ = fmt.Fprintf(conn, "POST %s%d HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nModel: m\r\nToken-Count: 1460,80\r\nPrompt-Prefix: %s\r\nDeadline-Ms: 12000\r\nAuthorization: Bearer %s\r\nContent-Length: 2\r\n\r\n{}",
				queryPrefix, caller, hostName, id, prefix, apiKey)
			_ = readAnswer(bufio.NewReader(conn), &status) // counted by its status
			_ = conn.Close()
		}
		c.crowdAnswers[status].Add(1)
		if status != http.StatusOK {
			time.Sleep(time.Second)
		}
	}
}

// readAnswer reads a whole answer and sets its status once its head has arrived.
func readAnswer(reader *bufio.Reader, status *int) error {
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return err
	}
	*status = response.StatusCode
	_, err = io.Copy(io.Discard, response.Body)
	return err
}
