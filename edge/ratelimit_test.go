package edge

import (
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"mulberrydyke/plan"
	"mulberrydyke/setting"
)

// limitedUpstream is an upstream that names a rate in its answers, or none if it is "".
type limitedUpstream struct {
	*httptest.Server
	rate string
	// work is how long a request takes.
	work     time.Duration
	mu       sync.Mutex
	arrivals []time.Time
}

func newLimitedUpstream(t *testing.T, rate string, work time.Duration) *limitedUpstream {
	t.Helper()
	u := &limitedUpstream{rate: rate, work: work}
	u.Server = httptest.NewServer(u)
	t.Cleanup(u.Close)
	return u
}

// ServeHTTP implements http.Handler.
func (u *limitedUpstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	u.mu.Lock()
	u.arrivals = append(u.arrivals, time.Now())
	u.mu.Unlock()
	time.Sleep(u.work)
	w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
	w.Header().Set("Response-Seal", "s")
	if u.rate != "" {
		w.Header().Set("Server-Limit", u.rate)
	}
	_, _ = io.WriteString(w, "done")
}

func (u *limitedUpstream) address() string { return strings.TrimPrefix(u.URL, "http://") }

// mostIn returns the largest number of requests that arrived in any span of the given
// length, counted from a time on.
func (u *limitedUpstream) mostIn(span time.Duration, from time.Time) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	most, first := 0, 0
	for i, at := range u.arrivals {
		for u.arrivals[first].Before(from) || at.Sub(u.arrivals[first]) > span {
			if first++; first > i {
				break
			}
		}
		most = max(most, i-first+1)
	}
	return most
}

const (
	// limitSettles is the time after an upstream first named its rate from which all hosts
	// together have to keep to it, and limitSpan the span in which they may send
	// 1.5 times what the rate allows, and 5 requests.
	limitSettles = 3 * time.Second
	limitSpan    = 4 * time.Second
)

// startFleet starts hosts of three domains on addresses of their own, and returns the URLs
// for callers.
func startFleet(t *testing.T, hosts int, store netip.AddrPort) []string {
	t.Helper()
	ports := freePorts(t, 4)
	domains := []plan.DomainID{"a", "b", "c"}
	seed := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.11"), ports[2])
	var urls []string
	for i := range hosts {
		ip := netip.AddrFrom4([4]byte{127, 0, 0, byte(11 + i)})
		_, cleanup, err := Start(setting.Edge{
			ID: plan.HostID(fmt.Sprintf("h%d", i)), Domain: domains[i%len(domains)], Domains: domains, IP: ip,
			Callers: netip.AddrPortFrom(ip, ports[0]), Readiness: netip.AddrPortFrom(ip, ports[1]), Peers: netip.AddrPortFrom(ip, ports[2]),
			GossipPort: ports[3], Seeds: []netip.AddrPort{seed}, Platform: store, Cores: 2, MemoryBytes: 1 << 30,
			Bounds: setting.EdgeBounds{StopGracePeriod: time.Second, MaxApplyDelay: 2 * time.Second, RetryWindow: time.Second, PrefixReuseWindow: time.Second},
		}, slog.New(slog.DiscardHandler))
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(cleanup)
		urls = append(urls, fmt.Sprintf("http://%s:%d/x", ip, ports[0]))
		for getStatus(t, fmt.Sprintf("http://%s:%d%s", ip, ports[1], readyPath)) != http.StatusOK {
			time.Sleep(time.Millisecond)
		}
	}
	return urls
}

// sendFor sends requests to random hosts at a rate for a while, and returns how many were
// not served.
func sendFor(t *testing.T, urls []string, perSecond int, span time.Duration) int {
	var mu sync.Mutex
	var wg sync.WaitGroup
	failed := 0
	ticker := time.NewTicker(time.Second / time.Duration(perSecond))
	defer ticker.Stop()
	for i := range int(span.Seconds()) * perSecond {
		<-ticker.C
		wg.Go(func() {
			r, _ := http.NewRequest(http.MethodGet, urls[rand.IntN(len(urls))], nil)
			r.Host = "127.0.0.4"
			r.Header.Set("Request-Id", fmt.Sprintf("id-%d", i))
			r.Header.Set("Deadline-Ms", "3000")
			response, err := http.DefaultTransport.RoundTrip(r)
			if err == nil && response.StatusCode == http.StatusOK {
				_ = response.Body.Close()
				return
			}
			mu.Lock()
			defer mu.Unlock()
			if failed++; failed == 1 {
				t.Logf("%v, %v", response, err)
			}
		})
	}
	wg.Wait()
	return failed
}

// TestHostsTogetherKeepToTheRateThatAnUpstreamNames guards against hosts that send an
// upstream more requests than it says that it takes from all of them together, and against
// hosts that refuse requests which other upstreams could serve.
func TestHostsTogetherKeepToTheRateThatAnUpstreamNames(t *testing.T) {
	const table = `{"version":1,"routes":[{"name":"r","host":"127.0.0.4","prefix":"/","kind":"idempotent","timeoutMs":5000,"service":"pool","maxAttempts":2}]}`
	limited, other := newLimitedUpstream(t, "4", 20*time.Millisecond), newLimitedUpstream(t, "", 60*time.Millisecond)
	urls := startFleet(t, 6, newStore(t, table, limited.address(), other.address()))
	time.Sleep(time.Second)
	began := time.Now()
	if failed := sendFor(t, urls, 60, 9*time.Second); failed > 0 {
		t.Errorf("%d requests were not served", failed)
	}
	const allowed = 1.5*4*4 + 5
	if most := limited.mostIn(limitSpan, began.Add(limitSettles)); most > allowed {
		t.Errorf("the upstream got %d requests in %v, want at most %v", most, limitSpan, allowed)
	}
}
