//go:build review

package lab

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// fillers is the number of callers that send one request after the other, each on a kept
	// connection, and fillRequests the number of requests of all of them.
	fillers      = 8
	fillRequests = 4060
	// restTime is how long they stay away then.
	restTime = 3 * time.Second
	// headPadding is the length of the last part's ID in their heads, which stay under
	// maxHeaderBytes (16,384).
	headPadding = 15800
	// crowdBody is the length of the bodies of the crowd. Those of label-draft have 18,000 bytes on
	// average, and 110,000 at most.
	crowdBody = 29900
	// crowdSize is the number of callers with one stream after the other, crowdGap the time between
	// the starts of two, and crowdTime how long they stay.
	crowdSize = 880
	crowdGap  = 10 * time.Millisecond
	crowdTime = 30 * time.Second
	// ordinaryCallers is the number of callers with kept connections whose answers are counted.
	ordinaryCallers = 20
	// maxLost is how many requests of kept connections a machine may lose at any time, by LOST.
	maxLost = 3
	// restartDelay is how long after the end of a process the platform starts it again.
	restartDelay = time.Second
	// watchInterval is the time between two looks at the memory of the process.
	watchInterval = 20 * time.Millisecond
	// lookupWork is the work of a lookup.
	lookupWork = 60 * time.Millisecond
	// lookupPause bounds the pause of an ordinary caller between two lookups.
	lookupPause = 40 * time.Millisecond
	// crowdEvents and crowdEventGap make a stream of the length of a clerk-query.
	crowdEvents   = 49
	crowdEventGap = 200 * time.Millisecond
)

// memoryCase plays callers whose heads stay in the memory of a host.
type memoryCase struct {
	*world
	begun                  sync.Map
	answered, lost, unread atomic.Int64
	// sent and filled count the requests of the first callers, and those answered with 200.
	sent, filled atomic.Int64
	ends         int
}

// playMemory has a few callers send requests within the limits, one at a time, and then an ordinary
// crowd. The platform ends a process that takes more than its memory.
func playMemory(w *world) (int, error) {
	c := &memoryCase{world: w}
	w.store.put("op/config", configuration(3))
	for i := range 9 {
		r := &runner{id: fmt.Sprintf("i-m%03d", i), service: modelService, arrived: func(arrival) {}}
		if err := w.addRunner(r); err != nil {
			return 0, err
		}
	}
	for i := range 3 {
		r := &runner{id: fmt.Sprintf("i-a%03d", i), service: appService, work: lookupWork, arrived: c.arrived}
		if err := w.addRunner(r); err != nil {
			return 0, err
		}
	}
	if err := w.startHosts("a"); err != nil {
		return 0, err
	}
	h := w.hosts[0]
	stop := make(chan struct{})
	var callers, watcher sync.WaitGroup
	var highest float64
	var err error
	watcher.Go(func() { highest, err = c.watch(h, stop) })
	var running atomic.Bool
	running.Store(true)
	for i := range ordinaryCallers {
		callers.Go(func() { c.callOrdinary(h, i, &running) })
	}
	c.fill(h, upTo(fillRequests))
	w.record.printf("the first callers have left: %d requests answered, memory %.0f MB", c.filled.Load(), h.memory())
	time.Sleep(restTime)
	w.record.printf("memory %.0f MB; the crowd comes, and the first callers come back", h.memory())
	end := time.Now().Add(crowdTime)
	callers.Go(func() { c.fill(h, until(end, fillRequests)) })
	for i := range crowdSize {
		callers.Go(func() { c.callCrowd(h, i, end) })
		time.Sleep(crowdGap)
	}
	time.Sleep(time.Until(end))
	running.Store(false)
	callers.Wait()
	close(stop)
	watcher.Wait()
	w.record.printf("highest memory of the process, without that of its files: %.0f of %d MB; ended because of it: %d times", highest, defaultMemoryMB, c.ends)
	w.record.printf("requests on kept connections: %d answered, %d begun by a runner and not answered (at most %d may be), %d others not answered",
		c.answered.Load(), c.lost.Load(), maxLost, c.unread.Load())
	if c.lost.Load() > maxLost {
		return int(c.lost.Load()), err
	}
	return 0, err
}

func (c *memoryCase) arrived(a arrival) { c.begun.Store(a.request, true) }

// fill has a few callers send requests, each one at a time, until next returns no more numbers. A number
// stands for a part of the prompt that the requests of other numbers don't have. With the disruption
// the heads are as long as they may be.
func (c *memoryCase) fill(h *host, next func() (number int64, ok bool)) {
	last := "e4402b7d"
	if c.trouble {
		last = strings.Repeat("e", headPadding)
	}
	var senders sync.WaitGroup
	for range fillers {
		senders.Go(func() {
			client := http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{}}
			for n, ok := next(); ok; n, ok = next() {
				id := fmt.Sprintf("f%07d", c.sent.Add(1))
				if status, _ := c.query(&client, h, id, fmt.Sprintf("%08x:800,%s:250", n, last), "prompt", 1); status == http.StatusOK {
					c.filled.Add(1)
				}
			}
			client.CloseIdleConnections()
		})
	}
	senders.Wait()
}

// upTo returns a function that counts from 1 to a limit.
func upTo(limit int64) func() (int64, bool) {
	var count atomic.Int64
	return func() (int64, bool) {
		n := count.Add(1)
		return n, n <= limit
	}
}

// until returns a function that repeats the numbers from 1 to a limit until a time.
func until(end time.Time, limit int64) func() (int64, bool) {
	var count atomic.Int64
	return func() (int64, bool) { return count.Add(1)%limit + 1, time.Now().Before(end) }
}

// query sends a request for a stream with the given number of events, and reads it to its end.
func (c *memoryCase) query(client *http.Client, h *host, id, prefix, body string, events int) (status int, err error) {
	request, err := http.NewRequest(http.MethodPost, "http://"+h.front()+queryPath+strconv.Itoa(events), strings.NewReader(body))
	if err != nil {
		return 0, err
	}
	request.Host = callerHost
	request.Header.Set("Request-Id", id)
	request.Header.Set("Model", "m")
	request.Header.Set("Token-Count", "1050,250")
	request.Header.Set("Prompt-Prefix", prefix)
	request.Header.Set("Deadline-Ms", "12000")
	response, err := client.Do(request)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}

// ordinaryPrefix lists the parts of the pages' example.
const ordinaryPrefix = "5c1e07a2:800,91bd3f06:410,e4402b7d:250"

// callCrowd sends one request for a stream after the other.
func (c *memoryCase) callCrowd(h *host, number int, end time.Time) {
	client := http.Client{Timeout: 12 * time.Second, Transport: &http.Transport{}}
	for n := 0; time.Now().Before(end); n++ {
		if _, err := c.query(&client, h, fmt.Sprintf("c%04d-%d", number, n), ordinaryPrefix, strings.Repeat("x", crowdBody), crowdEvents); err != nil {
			time.Sleep(500 * time.Millisecond)
		}
	}
	client.CloseIdleConnections()
}

// callOrdinary sends lookups on a kept connection, and counts those that a runner has begun and
// whose connection ends without an answer.
func (c *memoryCase) callOrdinary(h *host, number int, running *atomic.Bool) {
	var conn net.Conn
	var reader *bufio.Reader
	for n := 0; running.Load(); n++ {
		id := fmt.Sprintf("o%03d-%06d", number, n)
		kept := conn != nil
		if conn == nil {
			var err error
			if conn, err = net.DialTimeout("tcp4", h.front(), time.Second); err != nil {
				conn = nil
				time.Sleep(200 * time.Millisecond)
				continue
			}
			reader = bufio.NewReader(conn)
		}
		if err := c.lookup(conn, reader, id); err != nil {
			conn.Close()
			conn = nil
			if _, begun := c.begun.Load(id); begun && kept {
				c.lost.Add(1)
				c.record.printf("LOST: request %s was begun by a runner and its kept connection ended: %v", id, err)
			} else {
				c.unread.Add(1)
			}
			continue
		}
		c.answered.Add(1)
		time.Sleep(rand.N(lookupPause))
	}
}

func (c *memoryCase) lookup(conn net.Conn, reader *bufio.Reader, id string) error {
	_ = conn.SetDeadline(time.Now().Add(4 * time.Second)) // the connection is open
	_, err := fmt.Fprintf(conn, "GET %s1 HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: 4000\r\n\r\n", lookupPath, callerHost, id)
	if err != nil {
		return err
	}
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return err
}

// watch does what the platform does: it ends the process when it takes more than its memory, and
// starts it again. It returns the highest memory.
func (c *memoryCase) watch(h *host, stop <-chan struct{}) (highest float64, err error) {
	logged := time.Now()
	for {
		select {
		case <-stop:
			return highest, nil
		case <-h.exited:
			return highest, errors.New("the process ended by itself")
		case <-time.After(watchInterval):
		}
		memory := h.memory()
		highest = max(highest, memory)
		if time.Since(logged) > 2*time.Second {
			logged = time.Now()
			c.record.printf("memory %.0f of %d MB", memory, defaultMemoryMB)
		}
		if memory <= defaultMemoryMB {
			continue
		}
		c.ends++
		c.record.printf("memory %.0f MB is over the limit of %d MB: the platform ends the process", memory, defaultMemoryMB)
		_ = h.cmd.Process.Signal(syscall.SIGKILL) // it runs
		<-h.exited
		time.Sleep(restartDelay)
		if err := h.launch(c.world); err != nil {
			return highest, err
		}
	}
}

// memory returns the memory of the process without that of its files, in MB.
func (h *host) memory() float64 {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", h.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(raw)) {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "RssAnon:" {
			kb, _ := strconv.ParseFloat(fields[1], 64) // the kernel writes a number
			return kb / 1024
		}
	}
	return 0
}
