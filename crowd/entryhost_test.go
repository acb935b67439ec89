//go:build crowd

// Package crowd tests, against real processes, that callers whom nobody controls neither end a
// host nor keep it from answering others.
package crowd

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// newStore starts a fake of the platform's store that lists one route and one upstream, and
// returns its address.
func newStore(t *testing.T, upstream string) string {
	t.Helper()
	type item struct {
		Key      string `json:"key"`
		Value    []byte `json:"value"`
		Revision int    `json:"revision"`
	}
	table := `{"version":1,"routes":[{"name":"r","host":"crowd","prefix":"/","kind":"non_idempotent","service":"app","timeoutMs":20000,"maxAttempts":1}],
"services":[{"name":"app","healthPath":"/health","maxConnections":200}],
"limits":{"maxBodyBytes":4194304,"maxHeaderBytes":16384,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`
	entry := fmt.Sprintf(`{"service":"app","address":%q,"zone":"a","version":"v","slots":64,"state":"ready","coldRemainingMs":0,"sequence":1}`, upstream)
	listing, err := json.Marshal(map[string]any{"items": []item{{"op/config", []byte(table), 1}, {"servers/u1", []byte(entry), 2}}, "asOf": 2})
	if err != nil {
		t.Fatal(err)
	}
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/kv-watch" {
			time.Sleep(100 * time.Millisecond)
			_, _ = io.WriteString(w, `{"events":[],"asOf":2}`) // fails only if the host has gone
			return
		}
		_, _ = w.Write(listing)
	}))
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

// answerBytes is the length of an answer to a request for a long one.
const answerBytes = 512 << 10

// newUpstream starts an upstream that answers each request, and returns its address.
func newUpstream(t *testing.T) string {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // a body that breaks off ends the connection
		w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
		w.Header().Set("Response-Seal", "u1")
		length := 100
		if r.URL.Path == "/long" {
			length = answerBytes
		}
		_, _ = io.WriteString(w, strings.Repeat("x", length))
	}))
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

// The ports of the host under test, at an IP address of its own.
const (
	callerPort  = 8740
	peerPort    = 8748
	readyPort   = 8749
	metricsPort = 7201
)

// startEntryHost starts a host and waits until it is ready. It returns the host and its IP address.
func startEntryHost(t *testing.T) (*process, string) {
	t.Helper()
	ip := fmt.Sprintf("127.%d.%d.9", 128|os.Getpid()>>8&127, os.Getpid()&255)
	settings := fmt.Sprintf(`nodeName = "h"
ip = %[1]q
zone = "a"
region = "r"
internalPorts = [%[2]d,%[3]d]
seeds = []
[zones]
a = "r"
[listen]
front = "%[1]s:%[4]d"
ready = "%[1]s:%[5]d"
control = "%[1]s:%[6]d"
[limits]
cores = 1
memoryMb = %[7]d
maxFds = %[8]d
[bounds]
graceS = 8
configApplyMs = 2000
retryBudgetRatio = 0.2
retryWindowS = 10
retryBudgetExtra = 10
reuseWindowS = 8
[platform]
address = %[9]q
`, ip, metricsPort-1, metricsPort+14, callerPort, readyPort, peerPort, memoryMB, maxFDs, newStore(t, newUpstream(t)))
	file := filepath.Join(t.TempDir(), "settings.toml")
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		t.Fatal(err)
	}
	p := startProcess(t, []string{"MULBERRYDYKE_BOOT=" + file}, buildProgram(t, "entryhost"))
	awaitReady(t, p, fmt.Sprintf("http://%s:%d/ready", ip, readyPort))
	return p, ip
}

// awaitReady waits until a readiness endpoint answers that the host is ready.
func awaitReady(t *testing.T, p *process, url string) {
	t.Helper()
	for range 600 {
		response, err := http.Get(url)
		if err == nil {
			_ = response.Body.Close()
		}
		if err == nil && response.StatusCode == http.StatusOK {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	t.Fatalf("the host is not ready: %s", lastLines(p.output.String()))
}

// entryHostOrdinary returns an ordinary request to a host.
func entryHostOrdinary(ip string) ordinary {
	return ordinary{
		url:    fmt.Sprintf("http://%s:%d/order", ip, callerPort),
		header: http.Header{"Request-Id": {"a"}},
	}
}

// TestEntryHostServesRequestsInsideTheLimits guards against limits that touch sound callers.
func TestEntryHostServesRequestsInsideTheLimits(t *testing.T) {
	p, ip := startEntryHost(t)
	entryHostOrdinary(ip).checkLimitsServed(t)
	p.check(t)
}

// TestEntryHostOutlivesCrowd guards against callers who end the process by its memory or its
// descriptors, or keep it from answering others.
func TestEntryHostOutlivesCrowd(t *testing.T) {
	for _, s := range scripts(entryHostStart) {
		t.Run(s.name, func(t *testing.T) { runEntryHostCrowd(t, callerPort, s) })
	}
	t.Run("all at once", func(t *testing.T) { runEntryHostCrowd(t, callerPort, scripts(entryHostStart)...) })
}

// entryHostStart is the start of a request to a host, up to its last header line.
const entryHostStart = "POST /order HTTP/1.1\r\nHost: crowd\r\nRequest-Id: c\r\n"

// TestEntryHostOutlivesCrowdAtOtherListeners guards against the same at the listeners for the load
// balancer and for operators, which outsiders may reach as well.
func TestEntryHostOutlivesCrowdAtOtherListeners(t *testing.T) {
	for name, port := range map[string]int{"readiness": readyPort, "metrics": metricsPort, "peers": peerPort} {
		for _, s := range scripts("GET /ready HTTP/1.1\r\nHost: crowd\r\n") {
			t.Run(name+"/"+s.name, func(t *testing.T) { runEntryHostCrowd(t, port, s) })
		}
	}
}

// TestEntryHostOutlivesCrowdThatReadsNothing guards against answers that callers don't read, which
// hold memory as long as they are written.
func TestEntryHostOutlivesCrowdThatReadsNothing(t *testing.T) {
	request := []byte("GET /long HTTP/1.1\r\nHost: crowd\r\nRequest-Id: c\r\n\r\n")
	runEntryHostCrowd(t, callerPort, script{"", crowdSize, "", repeated(request), 64 * len(request)})
}

// runEntryHostCrowd checks a host during and after crowds at one of its ports.
func runEntryHostCrowd(t *testing.T, port int, s ...script) {
	p, ip := startEntryHost(t)
	o := entryHostOrdinary(ip)
	o.checkAnswered(t)
	var c crowd
	defer c.close()
	c.sendAll(fmt.Sprintf("%s:%d", ip, port), s)
	o.checkAnswered(t)
	p.check(t)
}
