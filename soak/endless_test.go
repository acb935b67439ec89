package soak

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// startHost starts a fleet of one host.
func startHost(t *testing.T, size fleetSize) *fleet {
	t.Helper()
	size.domains, size.hostsPerDomain = 1, 1
	f := newFleet(t, size, reserveOctet(t))
	for deadline := time.Now().Add(startTimeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		f.hosts[0].pollReadiness(&http.Client{Timeout: time.Second})
		if ready, _ := f.hosts[0].balancerState(); ready {
			return f
		}
	}
	t.Fatal("the host is not ready")
	return nil
}

// exits returns how processes ended that the test did not end.
func (h *host) exits() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.unexpectedExits
}

// logLines returns what the current process has logged of a request.
func (h *host) logLines(id string) string {
	raw, _ := os.ReadFile(h.logPath)
	var out strings.Builder
	for line := range strings.Lines(string(raw)) {
		if strings.Contains(line, "id="+id+" ") {
			out.WriteString(line)
		}
	}
	return out.String()
}

// peakMemory returns the most memory that the current process has had, in bytes.
func (h *host) peakMemory(t *testing.T) int {
	t.Helper()
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", h.cmd.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(raw), "VmHWM:")
	kilobytes, err := strconv.Atoi(strings.Fields(rest)[0])
	if err != nil {
		t.Fatal(err)
	}
	return kilobytes << 10
}

// sendEndlessly lets an upstream, a store or a peer write a start and then a text again
// and again until the other end closes.
func sendEndlessly(conn net.Conn, start, text string) {
	chunk := []byte(strings.Repeat(text, 1+(16<<10)/len(text)))
	_, err := io.WriteString(conn, start)
	for err == nil {
		_, err = conn.Write(chunk)
	}
}

// endlessAnswers holds the starts of answers, with the ID of the request to be filled in,
// and the texts that follow again and again.
func endlessAnswers() map[string][2]string {
	const head = "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: s\r\n"
	return map[string][2]string{
		"status line":            {"HTTP/1.1 200 %s", "x"},
		"header line":            {"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nX: ", "x"},
		"header lines":           {"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n", "X:0\r\n"},
		"interim heads":          {"HTTP/1.1 103 %s\r\n\r\n", "HTTP/1.1 103 X\r\n\r\n"},
		"no response":            {"%.0s", "\x00\x01 no HTTP \xff"},
		"body without a length":  {head + "\r\n", "x"},
		"body of a false length": {head + "Content-Length: 99999999999\r\n\r\n", "x"},
		"body beyond its length": {head + "Content-Length: 4\r\n\r\n", "x"},
		"chunked body":           {head + "Transfer-Encoding: chunked\r\n\r\n", "4\r\nxxxx\r\n"},
		"chunk extension":        {head + "Transfer-Encoding: chunked\r\n\r\n4;", "x"},
		"trailers":               {head + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X: 0123456789\r\n"},
		"body of a refusal":      {"HTTP/1.1 503 X\r\nRequest-Id: %s\r\nNot-Executed: 1\r\n\r\n", "x"},
	}
}

// maxEndlessMemory is the memory that a small host has.
const maxEndlessMemory = 134 << 20

// TestBytesWithoutEndCostNoOtherRequest guards against hosts that keep all bytes which an
// upstream sends without end, run out of memory and take other callers' requests with
// them. All upstreams of one service send so, many times at once.
func TestBytesWithoutEndCostNoOtherRequest(t *testing.T) {
	for _, faulty := range []requestKind{nonIdempotentRequest, nonResumableStream} {
		for name, answer := range endlessAnswers() {
			t.Run(fmt.Sprintf("%s, %s", faulty, name), func(t *testing.T) {
				f := startHost(t, fleetSize{poolUpstreams: 8, appUpstreams: 8})
				service, sound := "app", nonResumableStream
				if faulty == nonResumableStream {
					service, sound = "pool", nonIdempotentRequest
				}
				for _, u := range f.upstreams {
					if u.service == service {
						u.setEndless(answer)
					}
				}
				before := f.hosts[0].peakMemory(t)
				var wg sync.WaitGroup
				for range 200 {
					wg.Go(func() { f.sendOnce(faulty, 1) })
				}
				for range 8 {
					wg.Go(func() { f.checkSound(t, sound) })
				}
				wg.Wait()
				if exits := f.hosts[0].exits(); len(exits) > 0 {
					t.Error(exits)
				}
				peak := f.hosts[0].peakMemory(t)
				t.Logf("at most %d MB, %d before", peak>>20, before>>20)
				if peak > maxEndlessMemory {
					t.Errorf("the host took %d MB, want at most %d", peak>>20, maxEndlessMemory>>20)
				}
			})
		}
	}
}

// sendOnce sends a request on a connection of its own.
func (f *fleet) sendOnce(k requestKind, events int) *requestRecord {
	r := f.generator.newRecord(k, f.newestKey(), events)
	if cc := f.generator.connect(0, 1); cc != nil {
		f.generator.send(cc, r, 0)
		_ = cc.conn.Close()
	}
	return r
}

// checkSound sends requests for a while, each of which must be answered whole in its time.
func (f *fleet) checkSound(t *testing.T, k requestKind) {
	for range 15 {
		f.checkServed(t, k)
		time.Sleep(20 * time.Millisecond)
	}
}

// checkServed sends a request, and again after each refusal that says that it has not
// run, as callers do, until it is answered or its time is up. On a starved machine a host
// that is busy may see all upstreams as unreachable for a moment.
func (f *fleet) checkServed(t *testing.T, k requestKind) {
	for deadline := time.Now().Add(requestTimeout); ; {
		r := f.sendOnce(k, 5)
		switch {
		case r.status == 200 && r.complete && r.body == wantResponse(r):
			return
		case r.status == http.StatusServiceUnavailable && f.runLog.countRuns(r.id) == 0 && time.Now().Before(deadline):
			continue
		}
		t.Errorf("%s: status %d, complete %v, %s\n%s", r.id, r.status, r.complete, r.err, f.hosts[0].logLines(r.id))
		return
	}
}

// countRuns returns how often a request has run.
func (l *runLog) countRuns(id string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, r := range l.runs {
		if r.id == id {
			n++
		}
	}
	return n
}
