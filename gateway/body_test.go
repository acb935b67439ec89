package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"mulberrydyke/route"
)

// newLimitedFixture returns a gateway whose callers may send heads of 1,024 and bodies of 1,000
// bytes.
func newLimitedFixture(t *testing.T) (*fixture, *stub) {
	t.Helper()
	u := newStub(t, "u1", respond(200, "done"))
	f := newFixture(t, u)
	f.setTable(route.NewTable(2, route.Limits{MaxHeaderBytes: 1024, MaxBodyBytes: 1000}, testRoutes(), nil, map[string]*route.Account{"key": {ID: "acme"}}))
	return f, u
}

// exchangeRaw sends a request as text, and returns the response to what has been sent.
func (f *fixture) exchangeRaw(t *testing.T, path, header, body string) *http.Response {
	t.Helper()
	conn, err := net.Dial("tcp4", f.frontend.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
	fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: 127.0.0.1\r\nRequest-Id: id-1\r\nAuthorization: Bearer key\r\n%s\r\n\r\n%s", path, header, body)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, response.Body) // the status is what counts
	return response
}

// TestRequestsOverLimitsAreRefused guards against reading on, or waiting, for what is not served
// anyway, and against passing it on.
func TestRequestsOverLimitsAreRefused(t *testing.T) {
	f, u := newLimitedFixture(t)
	long := strings.Repeat("x", 1001)
	for _, c := range []struct {
		name, path, header, body string
		status                   int
		retryAfter               bool
	}{
		{"announced body, nothing sent", "/place/1", "Content-Length: 1001", "", 413, false},
		{"body in chunks without end", "/place/1", "Transfer-Encoding: chunked", "3e9\r\n" + long, 413, false},
		{"head", "/place/1", "Content-Length: 1\r\nFiller: " + long, "x", 431, false},
		{"body that stops", "/brief/1", "Content-Length: 10", "x", 408, true},
		{"chunks that stop", "/brief/1", "Transfer-Encoding: chunked", "1\r\nx\r\n", 408, true},
		{"malformed chunk", "/place/1", "Transfer-Encoding: chunked", "zz\r\n", 400, false},
		{"unknown route, body that stops", "/none", "Content-Length: 1000000", "x", 404, false},
	} {
		response := f.exchangeRaw(t, c.path, c.header, c.body)
		if response.StatusCode != c.status || (response.Header.Get("Retry-After") != "") != c.retryAfter {
			t.Errorf("%s: status %d, header %v", c.name, response.StatusCode, response.Header)
		}
	}
	if n := len(u.requests()); n != 0 {
		t.Errorf("%d requests were passed on", n)
	}
}

// TestRequestsAtLimitsAreServed guards against limits that touch sound callers.
func TestRequestsAtLimitsAreServed(t *testing.T) {
	f, _ := newLimitedFixture(t)
	body := strings.Repeat("x", 1000)
	for header, text := range map[string]string{"Content-Length: 1000": body, "Transfer-Encoding: chunked": "3e8\r\n" + body + "\r\n0\r\n\r\n"} {
		if response := f.exchangeRaw(t, "/place/1", header, text); response.StatusCode != http.StatusOK {
			t.Errorf("%s: status %d", header, response.StatusCode)
		}
	}
	filler := "Content-Length: 1\r\nFiller: " + strings.Repeat("x", 900)
	if response := f.exchangeRaw(t, "/place/1", filler, "x"); response.StatusCode != http.StatusOK {
		t.Errorf("long head: status %d", response.StatusCode)
	}
}
