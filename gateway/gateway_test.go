package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"mulberrydyke/dispatch"
	"mulberrydyke/plan"
	"mulberrydyke/platform"
	"mulberrydyke/quarantine"
	"mulberrydyke/route"
	"mulberrydyke/setting"
)

// seen is one request as an upstream got it.
type seen struct {
	*http.Request
	body string
}

// script answers one request of an upstream. It returns false to close the
// connection.
type script func(conn net.Conn, r seen) bool

// stub is an upstream that answers by script and keeps a ledger of what reached
// it.
type stub struct {
	id       plan.UpstreamID
	listener net.Listener
	mu       sync.Mutex
	ledger   []seen
	opened   int
	// left is closed when the first connection ends.
	left     chan struct{}
	leftOnce sync.Once
}

func newStub(t *testing.T, id plan.UpstreamID, s script) *stub {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	u := &stub{id: id, listener: listener, left: make(chan struct{})}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go u.serve(conn, s)
		}
	}()
	return u
}

func (u *stub) serve(conn net.Conn, s script) {
	defer u.leftOnce.Do(func() { close(u.left) })
	defer conn.Close()
	u.mu.Lock()
	u.opened++
	u.mu.Unlock()
	read := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(read)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		got := seen{Request: r, body: string(body)}
		u.mu.Lock()
		u.ledger = append(u.ledger, got)
		u.mu.Unlock()
		if !s(conn, got) {
			return
		}
	}
}

func (u *stub) got() []seen {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]seen(nil), u.ledger...)
}

// whole answers with a sealed body.
func whole(status int, body string) script {
	return func(conn net.Conn, r seen) bool {
		fmt.Fprintf(conn, "HTTP/1.1 %d X\r\nRequest-Id: %s\r\nResponse-Seal: s\r\nContent-Length: %d\r\n\r\n%s",
			status, r.Header.Get("Request-Id"), len(body), body)
		return true
	}
}

func notRun(conn net.Conn, r seen) bool {
	fmt.Fprintf(conn, "HTTP/1.1 503 X\r\nRequest-Id: %s\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", r.Header.Get("Request-Id"))
	return true
}

func closes(net.Conn, seen) bool { return false }

// hangs keeps the connection without an answer until the other end closes it.
func hangs(conn net.Conn, _ seen) bool {
	_, _ = conn.Read(make([]byte, 1))
	return false
}

func streamHead(conn net.Conn, r seen) {
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: seal-of-%s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
		r.Header.Get("Request-Id"), r.Header.Get("Expect-Instance"))
}

func writeEvents(conn net.Conn, from, to int) {
	for i := from; i <= to; i++ {
		text := fmt.Sprintf("id: %d\ndata: d%d\n\n", i, i)
		fmt.Fprintf(conn, "%x\r\n%s\r\n", len(text), text)
	}
}

func events(from, to int) string {
	var b strings.Builder
	for i := from; i <= to; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: d%d\n\n", i, i)
	}
	return b.String()
}

// stream answers with events and the stream's end.
func stream(from, to int) script {
	return func(conn net.Conn, r seen) bool {
		streamHead(conn, r)
		writeEvents(conn, from, to)
		io.WriteString(conn, "0\r\n\r\n")
		return true
	}
}

// cutStream breaks off after some events, in the middle of the next.
func cutStream(to int) script {
	return func(conn net.Conn, r seen) bool {
		streamHead(conn, r)
		writeEvents(conn, 1, to)
		io.WriteString(conn, "40\r\nid: 99\nda")
		return false
	}
}

// fixture is a gateway before some upstreams.
type fixture struct {
	server *Server
	front  *httptest.Server
	core   *dispatch.Balancer
	// views may be changed while requests run.
	mu    sync.Mutex
	table *route.Table
	view  *route.Upstreams
}

func (f *fixture) setTable(t *route.Table) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.table = t
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
	f := &fixture{core: dispatch.NewBalancer("h", "a", time.Second), table: testTable(1, testRoutes(), "key"), view: &route.Upstreams{ByID: map[plan.UpstreamID]*route.Upstream{}}}
	for _, u := range stubs {
		f.view.ByID[u.id] = &route.Upstream{ID: u.id, Service: "pool", Address: u.listener.Addr().String(), Domain: "a", Slots: 4}
	}
	f.core.SetUpstreams(time.Now(), f.view)
	links, cleanup := NewLinks()
	t.Cleanup(cleanup)
	bounds := setting.EdgeBounds{RetryRatio: 1, RetryWindow: 10 * time.Second, RetryExtra: 100}
	f.server = NewServer(Options{
		Dialect: platform.Dialect{}, Core: f.core, Links: links, Budget: NewBudget(bounds, func() int { return 1 }, f.core), Quarantine: quarantine.NewTable(),
		Table: func() *route.Table {
			f.mu.Lock()
			defer f.mu.Unlock()
			return f.table
		},
		Current: func(id plan.UpstreamID) *route.Upstream {
			f.mu.Lock()
			defer f.mu.Unlock()
			return f.view.ByID[id]
		},
		Log: slog.New(slog.DiscardHandler), Metrics: NewMetrics(metrics.NewSet()), Now: time.Now,
	})
	f.front = httptest.NewServer(f.server)
	t.Cleanup(f.front.Close)
	return f
}

// reply is what a caller gets.
type reply struct {
	status int
	header http.Header
	body   string
	// err is set where the answer did not look whole.
	err error
}

func (f *fixture) do(ctx context.Context, method, path, body string) reply {
	r, err := http.NewRequestWithContext(ctx, method, f.front.URL+path, strings.NewReader(body))
	if err != nil {
		return reply{err: err}
	}
	r.Header.Set("Request-Id", "id-1")
	r.Header.Set("Authorization", "Bearer key")
	r.Header.Set("Deadline-Ms", "4000")
	response, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		return reply{err: err}
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(response.Body)
	return reply{status: response.StatusCode, header: response.Header, body: string(raw), err: err}
}

func (f *fixture) get(path string) reply { return f.do(context.Background(), http.MethodGet, path, "") }

func (f *fixture) post(path, body string) reply {
	return f.do(context.Background(), http.MethodPost, path, body)
}
