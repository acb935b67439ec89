package edge

import (
	"bufio"
	"encoding/base64"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"mulberrydyke/setting"
)

// streamTable is a routing table with one route for streams.
const streamTable = `{"version":1,"routes":[{"name":"r","host":"127.0.0.4","prefix":"/","kind":"streaming","timeoutMs":5000,"service":"pool"}]}`

// newStore starts a fake of the platform's store that publishes a table and upstreams
// with the given addresses, and returns its address.
func newStore(t *testing.T, table string, upstreams ...string) netip.AddrPort {
	t.Helper()
	items := fmt.Sprintf(`{"key":"op/config","value":%q,"revision":1}`, encodeBase64(table))
	for i, address := range upstreams {
		entry := fmt.Sprintf(`{"service":"pool","address":%q,"zone":"a","version":"v","slots":4,"state":"ready","coldRemainingMs":0,"sequence":1}`, address)
		items += fmt.Sprintf(`,{"key":"servers/u%d","value":%q,"revision":2}`, i+1, encodeBase64(entry))
	}
	listing := fmt.Sprintf(`{"items":[%s],"asOf":2}`, items)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/kv-watch" {
			time.Sleep(20 * time.Millisecond)
			_, _ = io.WriteString(w, `{"events":[],"asOf":2}`)
			return
		}
		_, _ = io.WriteString(w, listing)
	}))
	t.Cleanup(s.Close)
	return netip.MustParseAddrPort(strings.TrimPrefix(s.URL, "http://"))
}

// newStreamingUpstream returns the address of an upstream that streams two events,
// the second after proceed is closed.
func newStreamingUpstream(t *testing.T, proceed <-chan struct{}) string {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nRequest-Id: a\r\nResponse-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\nf\r\nid: 1\ndata: x\n\n\r\n")
		<-proceed
		_, _ = io.WriteString(conn, "f\r\nid: 2\ndata: y\n\n\r\n0\r\n\r\n")
	}()
	return listener.Addr().String()
}

func freePorts(t *testing.T, n int) []uint16 {
	t.Helper()
	var out []uint16
	for range n {
		l, err := net.Listen("tcp4", "127.0.0.4:0")
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
		out = append(out, netip.MustParseAddrPort(l.Addr().String()).Port())
	}
	return out
}

// fixture is one host in front of one upstream.
type fixture struct {
	host      *Host
	callerURL string
	readyURL  string
}

func newFixture(t *testing.T, upstream string) *fixture {
	t.Helper()
	ip := netip.MustParseAddr("127.0.0.4")
	ports := freePorts(t, 4)
	h, cleanup, err := Start(setting.Edge{
		ID: "h", Domain: "a", IP: ip, Callers: netip.AddrPortFrom(ip, ports[0]), Readiness: netip.AddrPortFrom(ip, ports[1]),
		Peers: netip.AddrPortFrom(ip, ports[2]), GossipPort: ports[3], Platform: newStore(t, streamTable, upstream), Cores: 2, MemoryBytes: 1 << 30,
		Bounds: setting.EdgeBounds{StopGracePeriod: 20 * time.Second, MaxApplyDelay: 2 * time.Second, RetryWindow: time.Second, PrefixReuseWindow: time.Second},
	}, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(cleanup)
	f := &fixture{host: h, callerURL: fmt.Sprintf("http://%s:%d", ip, ports[0]), readyURL: fmt.Sprintf("http://%s:%d%s", ip, ports[1], readyPath)}
	for getStatus(t, f.readyURL) != http.StatusOK {
		time.Sleep(time.Millisecond)
	}
	return f
}

// request sends one request over a new connection.
func (f *fixture) request(t *testing.T) *http.Response {
	t.Helper()
	r, err := http.NewRequest(http.MethodGet, f.callerURL+"/x", nil)
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set("Request-Id", "a")
	response, err := (&http.Transport{}).RoundTrip(r)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = response.Body.Close() })
	return response
}

// stop calls Host.Stop and waits until the readiness endpoint reports it. The
// returned channel is closed when Stop returns.
func (f *fixture) stop(t *testing.T) <-chan struct{} {
	t.Helper()
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		f.host.Stop()
	}()
	for getStatus(t, f.readyURL) == http.StatusOK {
		time.Sleep(time.Millisecond)
	}
	return stopped
}

// TestStopLetsStreamsFinish checks that Stop makes the readiness endpoint fail at
// once and does not interrupt streams in progress.
func TestStopLetsStreamsFinish(t *testing.T) {
	proceed := make(chan struct{})
	f := newFixture(t, newStreamingUpstream(t, proceed))
	response := f.request(t)
	stopped := f.stop(t)
	close(proceed)
	body, err := io.ReadAll(response.Body)
	if want := "id: 1\ndata: x\n\nid: 2\ndata: y\n\n"; err != nil || string(body) != want {
		t.Errorf("body %q, error %v", body, err)
	}
	<-stopped
}

// TestStoppingHostServesUntilLoadBalancerNotices checks that a stopping host serves
// the callers that the load balancer still sends to it, and closes their
// connections so that they reconnect elsewhere.
func TestStoppingHostServesUntilLoadBalancerNotices(t *testing.T) {
	proceed := make(chan struct{})
	close(proceed)
	f := newFixture(t, newStreamingUpstream(t, proceed))
	stopped := f.stop(t)
	response := f.request(t)
	body, err := io.ReadAll(response.Body)
	if err != nil || response.StatusCode != http.StatusOK || len(body) == 0 {
		t.Errorf("status %d, %d bytes, error %v", response.StatusCode, len(body), err)
	}
	if !response.Close {
		t.Error("the connection to a stopping host is not closed after the response")
	}
	<-stopped
}

func getStatus(t *testing.T, url string) int {
	t.Helper()
	response, err := http.Get(url)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	return response.StatusCode
}

func encodeBase64(text string) string { return base64.StdEncoding.EncodeToString([]byte(text)) }
