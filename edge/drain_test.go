package edge

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// drainBound is the time after a host has passed on an answer that says that its upstream is
// draining, from which requests that callers send to the host must not reach the upstream.
const drainBound = 2 * time.Second

// drainingUpstream is an upstream that says in its answers that it is draining, once it does.
type drainingUpstream struct {
	*httptest.Server
	draining atomic.Bool
	mu       sync.Mutex
	// received holds the IDs of the requests that reached it.
	received []string
}

func newDrainingUpstream(t *testing.T) *drainingUpstream {
	t.Helper()
	u := &drainingUpstream{}
	u.Server = httptest.NewServer(u)
	t.Cleanup(u.Close)
	return u
}

// ServeHTTP implements http.Handler.
func (u *drainingUpstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	u.mu.Lock()
	u.received = append(u.received, r.Header.Get("Request-Id"))
	u.mu.Unlock()
	time.Sleep(10 * time.Millisecond)
	w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
	w.Header().Set("Response-Seal", u.address())
	if u.draining.Load() {
		w.Header().Set("Server-Leaving", "1")
	}
	_, _ = io.WriteString(w, "done")
}

func (u *drainingUpstream) address() string { return strings.TrimPrefix(u.URL, "http://") }

// drainCaller sends requests to hosts and records when it sent them, and when each host first
// passed on an answer that says that its upstream is draining.
type drainCaller struct {
	mu       sync.Mutex
	sent     map[string]sentRequest
	passedOn map[passing]time.Time
	failed   int
}

// passing names a host and an upstream of whose draining it has passed on.
type passing struct{ url, upstream string }

// sentRequest is a request of a caller.
type sentRequest struct {
	url string
	at  time.Time
}

func newDrainCaller() *drainCaller {
	return &drainCaller{sent: map[string]sentRequest{}, passedOn: map[passing]time.Time{}}
}

// run sends requests to random hosts at a rate for a while.
func (c *drainCaller) run(urls []string, perSecond int, span time.Duration) {
	var wg sync.WaitGroup
	ticker := time.NewTicker(time.Second / time.Duration(perSecond))
	defer ticker.Stop()
	for end := time.Now().Add(span); time.Now().Before(end); <-ticker.C {
		wg.Go(func() { c.send(urls[rand.IntN(len(urls))]) })
	}
	wg.Wait()
}

func (c *drainCaller) send(url string) {
	r, _ := http.NewRequest(http.MethodGet, url, nil)
	r.Host = "127.0.0.4"
	c.mu.Lock()
	id := fmt.Sprintf("id-%d", len(c.sent))
	c.sent[id] = sentRequest{url: url, at: time.Now()}
	c.mu.Unlock()
	r.Header.Set("Request-Id", id)
	r.Header.Set("Deadline-Ms", "3000")
	response, err := http.DefaultTransport.RoundTrip(r)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil || response.StatusCode != http.StatusOK {
		c.failed++
		return
	}
	_ = response.Body.Close()
	p := passing{url, response.Header.Get("Response-Seal")}
	if response.Header.Get("Server-Leaving") != "" && c.passedOn[p].IsZero() {
		c.passedOn[p] = time.Now()
	}
}

// late returns the requests that reached an upstream though their host had passed on, over
// drainBound before they were sent, that it is draining.
func (c *drainCaller) late(u *drainingUpstream) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	u.mu.Lock()
	defer u.mu.Unlock()
	var late []string
	for _, id := range u.received {
		r := c.sent[id]
		if at, ok := c.passedOn[passing{r.url, u.address()}]; ok && r.at.After(at.Add(drainBound)) {
			late = append(late, id)
		}
	}
	return late
}

// TestUpstreamThatSaysItIsDrainingGetsNoRequests guards against hosts that go on sending
// requests to an upstream which says in its answers that it is draining, while the platform
// still lists it as ready.
func TestUpstreamThatSaysItIsDrainingGetsNoRequests(t *testing.T) {
	const table = `{"version":1,"routes":[{"name":"r","host":"127.0.0.4","prefix":"/","kind":"idempotent","timeoutMs":5000,"service":"pool","maxAttempts":2}]}`
	draining, other := newDrainingUpstream(t), newDrainingUpstream(t)
	urls := startFleet(t, 6, newStore(t, table, draining.address(), other.address()))
	time.Sleep(time.Second)
	draining.draining.Store(true)
	callers := newDrainCaller()
	callers.run(urls, 60, drainBound+3*time.Second)
	if late := callers.late(draining); len(late) > 0 {
		t.Errorf("%d of %d requests reached the draining upstream too late, the first is %s", len(late), len(callers.sent), late[0])
	}
	if callers.failed > 0 {
		t.Errorf("%d requests were not served", callers.failed)
	}
	if len(callers.passedOn) == 0 {
		t.Error("no host passed on that the upstream is draining")
	}
}
