package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"mulberrydyke/dispatch"
	"mulberrydyke/drain"
	"mulberrydyke/plan"
	"mulberrydyke/platform"
	"mulberrydyke/quarantine"
	"mulberrydyke/ratelimit"
	"mulberrydyke/route"
	"mulberrydyke/setting"
)

// receivedRequest is one request as an upstream received it.
type receivedRequest struct {
	*http.Request
	body string
}

// stubHandler responds to one request on a connection. It returns false to close
// the connection.
type stubHandler func(conn net.Conn, r receivedRequest) bool

// stub is an upstream that responds with a stubHandler and records the requests that
// it receives.
type stub struct {
	id       plan.UpstreamID
	listener net.Listener
	mu       sync.Mutex
	received []receivedRequest
	accepted int
	// firstConnClosed is closed when the first connection ends.
	firstConnClosed chan struct{}
	firstConnOnce   sync.Once
}

func newStub(t *testing.T, id plan.UpstreamID, handler stubHandler) *stub {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	u := &stub{id: id, listener: listener, firstConnClosed: make(chan struct{})}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go u.serve(conn, handler)
		}
	}()
	return u
}

func (u *stub) serve(conn net.Conn, handler stubHandler) {
	defer u.firstConnOnce.Do(func() { close(u.firstConnClosed) })
	defer conn.Close()
	u.mu.Lock()
	u.accepted++
	u.mu.Unlock()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		got := receivedRequest{Request: r, body: string(body)}
		u.mu.Lock()
		u.received = append(u.received, got)
		u.mu.Unlock()
		if !handler(conn, got) {
			return
		}
	}
}

func (u *stub) requests() []receivedRequest {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]receivedRequest(nil), u.received...)
}

// respond returns a handler that sends a complete response with a signature.
func respond(status int, body string) stubHandler {
	return func(conn net.Conn, r receivedRequest) bool {
		fmt.Fprintf(conn, "HTTP/1.1 %d X\r\nRequest-Id: %s\r\nResponse-Seal: s\r\nContent-Length: %d\r\n\r\n%s",
			status, r.Header.Get("Request-Id"), len(body), body)
		return true
	}
}

func respondNotRun(conn net.Conn, r receivedRequest) bool {
	fmt.Fprintf(conn, "HTTP/1.1 503 X\r\nRequest-Id: %s\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", r.Header.Get("Request-Id"))
	return true
}

func closeConn(net.Conn, receivedRequest) bool { return false }

// hang keeps the connection open without a response until the other end closes it.
func hang(conn net.Conn, _ receivedRequest) bool {
	_, _ = conn.Read(make([]byte, 1))
	return false
}

func writeStreamHeader(conn net.Conn, r receivedRequest) {
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: seal-of-%s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
		r.Header.Get("Request-Id"), r.Header.Get("Expect-Instance"))
}

func writeEvents(conn net.Conn, from, to int) {
	for i := from; i <= to; i++ {
		text := fmt.Sprintf("id: %d\ndata: d%d\n\n", i, i)
		fmt.Fprintf(conn, "%x\r\n%s\r\n", len(text), text)
	}
}

func eventText(from, to int) string {
	var b strings.Builder
	for i := from; i <= to; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: d%d\n\n", i, i)
	}
	return b.String()
}

// respondStream returns a handler that sends a complete stream.
func respondStream(from, to int) stubHandler {
	return func(conn net.Conn, r receivedRequest) bool {
		writeStreamHeader(conn, r)
		writeEvents(conn, from, to)
		io.WriteString(conn, "0\r\n\r\n")
		return true
	}
}

// respondTruncatedStream returns a handler that closes the connection within the
// event that follows event number to.
func respondTruncatedStream(to int) stubHandler {
	return func(conn net.Conn, r receivedRequest) bool {
		writeStreamHeader(conn, r)
		writeEvents(conn, 1, to)
		io.WriteString(conn, "40\r\nid: 99\nda")
		return false
	}
}

// fixture is a gateway in front of stub upstreams.
type fixture struct {
	server   *Server
	frontend *httptest.Server
	balancer *dispatch.Balancer
	pools    *ConnPools
	// mu guards table and upstreams, which tests change while requests run.
	mu        sync.Mutex
	table     *route.Table
	upstreams *route.Upstreams
}

func (f *fixture) setTable(t *route.Table) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.table = t
}

// applyDrains puts the upstreams that have said that they are draining in that state.
func (f *fixture) applyDrains() {
	f.mu.Lock()
	f.upstreams = f.upstreams.WithDraining(f.server.Drains.Draining)
	upstreams := f.upstreams
	f.mu.Unlock()
	f.balancer.SetUpstreams(time.Now(), upstreams)
	f.pools.Prune(upstreams)
}

// list adds a stub to the listed upstreams.
func (f *fixture) list(u *stub) {
	f.mu.Lock()
	f.upstreams.ByID[u.id] = &route.Upstream{ID: u.id, Service: "pool", Address: u.listener.Addr().String(), Domain: "a", Slots: 4}
	f.mu.Unlock()
	f.balancer.SetUpstreams(time.Now(), f.upstreams)
}

// draining reports whether the listed process of a stub has said that it is draining.
func (f *fixture) draining(u *stub) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.server.Drains.Draining(f.upstreams.ByID[u.id].ProcessKey())
}

func testRoutes() []*route.Route {
	splits := []route.Split{{Service: "pool", Weight: 1}}
	return []*route.Route{
		{Name: "status", Host: "127.0.0.1", Prefix: "/status/", Kind: route.Idempotent, Timeout: 5 * time.Second, LatencyTarget: 50 * time.Millisecond, MaxAttempts: 2, Splits: splits},
		{Name: "export", Host: "127.0.0.1", Prefix: "/export/", Kind: route.Idempotent, Timeout: 5 * time.Second, MaxAttempts: 2, Splits: splits},
		{Name: "place", Host: "127.0.0.1", Prefix: "/place/", Kind: route.NonIdempotent, Timeout: 5 * time.Second, MaxAttempts: 1, Splits: splits},
		{Name: "brief", Host: "127.0.0.1", Prefix: "/brief/", Kind: route.Idempotent, Timeout: 100 * time.Millisecond, MaxAttempts: 2, Splits: splits},
		{Name: "draft", Host: "127.0.0.1", Prefix: "/draft/", Kind: route.Stream, Timeout: 5 * time.Second, MaxAttempts: 1, Splits: splits},
		{Name: "letter", Host: "127.0.0.1", Prefix: "/letter/", Kind: route.Stream, Resumable: true, Timeout: 5 * time.Second, MaxAttempts: 2, Splits: splits},
	}
}

func testTable(version plan.Version, routes []*route.Route, keys ...string) *route.Table {
	accounts := map[string]*route.Account{}
	for _, k := range keys {
		accounts[k] = &route.Account{ID: "acme"}
	}
	return route.NewTable(version, route.Limits{MaxBodyBytes: 32 << 20}, routes, nil, accounts)
}

func newFixture(t *testing.T, stubs ...*stub) *fixture {
	t.Helper()
	f := &fixture{balancer: dispatch.NewBalancer("h", "a", time.Second), table: testTable(1, testRoutes(), "key"), upstreams: &route.Upstreams{ByID: map[plan.UpstreamID]*route.Upstream{}}}
	for _, u := range stubs {
		f.upstreams.ByID[u.id] = &route.Upstream{ID: u.id, Service: "pool", Address: u.listener.Addr().String(), Domain: "a", Slots: 4}
	}
	f.balancer.SetUpstreams(time.Now(), f.upstreams)
	connPools, cleanup := NewConnPools()
	t.Cleanup(cleanup)
	f.pools = connPools
	bounds := setting.EdgeBounds{RetryRatio: 1, RetryWindow: 10 * time.Second, RetryExtra: 100}
	limiter := ratelimit.NewLimiter(time.Now().Add(-time.Minute), netip.MustParseAddr("127.0.0.1"), "a", nil)
	f.server = NewServer(Options{
		Dialect: platform.Dialect{}, Balancer: f.balancer, ConnPools: connPools, RetryBudget: NewRetryBudget(bounds, func() int { return 1 }, f.balancer), Quarantine: quarantine.NewTable("h"),
		RateLimits: limiter, Permits: ownPermits{limiter}, Drains: drain.NewTable(f.applyDrains),
		Table: func() *route.Table {
			f.mu.Lock()
			defer f.mu.Unlock()
			return f.table
		},
		LookupUpstream: f.lookupUpstream, AwaitUpstream: f.lookupUpstream,
		Log: slog.New(slog.DiscardHandler), Metrics: NewMetrics(metrics.NewSet()), Now: time.Now,
	})
	f.frontend = httptest.NewServer(f.server)
	t.Cleanup(f.frontend.Close)
	return f
}

func (f *fixture) lookupUpstream(id plan.UpstreamID) *route.Upstream {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.upstreams.ByID[id]
}

// ownPermits implements Permits for a host that has no others.
type ownPermits struct{ *ratelimit.Limiter }

func (p ownPermits) RequestPermit(_ context.Context, u *route.Upstream, urgency int) (ratelimit.Permit, bool) {
	now, key := time.Now(), u.ProcessKey()
	limit := p.Limit(now, key)
	rate := limit.Rate()
	holder, ok := p.Asker.Begin(now, key, rate, urgency)
	if rate == ratelimit.NoLimit || !ok {
		return ratelimit.Permit{}, rate == ratelimit.NoLimit
	}
	ask := ratelimit.Ask{Number: rand.Uint64(), Key: key, Rate: limit.Announced, Cold: limit.Cold, Urgency: urgency}
	decision := p.Decide(now, ratelimit.AskID{Host: "h", Number: ask.Number}, ask)
	p.Asker.Decided(now, key, holder, rate, urgency, decision)
	return ratelimit.NewPermit(now, limit), decision.Granted
}

// callerResponse is what a caller receives.
type callerResponse struct {
	status int
	header http.Header
	body   string
	// err is set if the response was incomplete.
	err error
}

func (f *fixture) do(ctx context.Context, method, path, body string) callerResponse {
	return f.doPrompt(ctx, method, path, "", body)
}

// doPrompt sends a request whose prompt has the given parts, as ID:TOKENS.
func (f *fixture) doPrompt(ctx context.Context, method, path, parts, body string) callerResponse {
	r, err := http.NewRequestWithContext(ctx, method, f.frontend.URL+path, strings.NewReader(body))
	if err != nil {
		return callerResponse{err: err}
	}
	if parts != "" {
		r.Header.Set("Prompt-Prefix", parts)
	}
	r.Header.Set("Request-Id", "id-1")
	r.Header.Set("Authorization", "Bearer key")
	r.Header.Set("Deadline-Ms", "4000")
	response, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		return callerResponse{err: err}
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(response.Body)
	return callerResponse{status: response.StatusCode, header: response.Header, body: string(raw), err: err}
}

func (f *fixture) get(path string) callerResponse {
	return f.do(context.Background(), http.MethodGet, path, "")
}

func (f *fixture) post(path, body string) callerResponse {
	return f.do(context.Background(), http.MethodPost, path, body)
}

func (f *fixture) postPrompt(path, parts, body string) callerResponse {
	return f.doPrompt(context.Background(), http.MethodPost, path, parts, body)
}
