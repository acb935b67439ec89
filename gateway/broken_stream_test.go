package gateway

import (
	"fmt"
	"io"
	"net"
	"testing"

	"mulberrydyke/route"
)

// TestBrokenStreamEndsWithoutAnotherAnswer guards against a stream that has begun and goes on
// with the answer of the next upstream, when that is an error or no part of the stream, and
// against one that looks complete then.
func TestBrokenStreamEndsWithoutAnotherAnswer(t *testing.T) {
	writeAnswer := func(format string) stubHandler {
		return func(conn net.Conn, r receivedRequest) bool {
			fmt.Fprintf(conn, format, r.Header.Get("Request-Id"))
			return false
		}
	}
	toPlainRoutes := func(f *fixture) {
		routes := testRoutes()
		for _, r := range routes {
			r.Kind = route.Idempotent
		}
		f.setTable(testTable(2, routes, "key"))
	}
	for _, c := range []struct {
		name string
		next stubHandler
		// change is called when the stream breaks.
		change func(*fixture)
	}{
		{"failure", respond(500, "why"), nil},
		{"failure that says not run without proof", respond(503, "why"), nil},
		{"refusal", respondNotRun, nil},
		{"refusal of another upstream", writeAnswer("HTTP/1.1 421 X\r\nRequest-Id: %s\r\nInstance-Id: i-9\r\nContent-Length: 3\r\n\r\nwhy"), nil},
		{"failure with the type of a stream", writeAnswer("HTTP/1.1 502 X\r\nRequest-Id: %s\r\nResponse-Seal: s\r\nContent-Type: text/event-stream\r\n\r\nid: 4\ndata: d4\n\n"), nil},
		{"redirection", respond(302, "why"), nil},
		{"no content", writeAnswer("HTTP/1.1 204 X\r\nRequest-Id: %s\r\nResponse-Seal: s\r\n\r\n"), nil},
		{"unsigned stream", writeAnswer("HTTP/1.1 200 X\r\nRequest-Id: %s\r\n\r\nid: 4\ndata: d4\n\n"), nil},
		{"stream of another request", writeAnswer("HTTP/1.1 200 X\r\nRequest-Id: not-%s\r\nResponse-Seal: s\r\nContent-Length: 15\r\n\r\nid: 4\ndata: d4\n\n"), nil},
		{"text in place of events", writeAnswer("HTTP/1.1 200 X\r\nRequest-Id: %s\r\nResponse-Seal: s\r\nContent-Length: 12\r\n\r\nnot an event"), nil},
		{"head in place of a body", writeAnswer("HTTP/1.1 200 X\r\nRequest-Id: %s\r\nResponse-Seal: s\r\n\r\nHTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n"), nil},
		{"events from the beginning", respondStream(1, 6), nil},
		{"answer of a route that is no stream any more", respond(200, "plain"), toPlainRoutes},
	} {
		broken := false
		var f *fixture
		handler := func(conn net.Conn, r receivedRequest) bool {
			if broken {
				return c.next(conn, r)
			}
			broken = true
			writeStreamHeader(conn, r)
			writeEvents(conn, 1, 3)
			if c.change != nil {
				c.change(f)
			}
			io.WriteString(conn, "40\r\nid: 99\nda")
			return false
		}
		f = newFixture(t, newStub(t, "u1", handler), newStub(t, "u2", handler))
		if got := f.post("/letter/", "p"); got.err == nil || got.body != eventText(1, 3) {
			t.Errorf("%s: body %q, error %v, want three events and no end", c.name, got.body, got.err)
		}
	}
}
