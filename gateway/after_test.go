package gateway

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"
)

// TestWhatFollowsAResponseIsNoAnswer checks that bytes which follow a response, and look like another, are
// never the answer to the next request over the same connection, whether they come with it or a little
// later.
func TestWhatFollowsAResponseIsNoAnswer(t *testing.T) {
	const after = "HTTP/1.1 200 OK\r\nResponse-Seal: s\r\nContent-Length: 5\r\n\r\nwrong"
	for _, c := range []struct{ method, head, body string }{
		{http.MethodPost, "HTTP/1.1 204 X\r\n" + signed + "\r\n", ""},
		{http.MethodPost, "HTTP/1.1 304 X\r\n" + signed + "Content-Length: 5\r\n\r\n", ""},
		{http.MethodHead, "HTTP/1.1 200 OK\r\n" + signed + "Content-Length: 5\r\n\r\n", ""},
		{http.MethodPost, "HTTP/1.1 200 OK\r\n" + signed + "Content-Length: 0\r\n\r\n", ""},
		{http.MethodPost, "HTTP/1.1 200 OK\r\n" + signed + "Content-Length: 5\r\n\r\nright", "right"},
		{http.MethodPost, "HTTP/1.1 200 OK\r\n" + signed + "Transfer-Encoding: chunked\r\n\r\n5\r\nright\r\n0\r\n\r\n", "right"},
	} {
		for _, delay := range []time.Duration{0, time.Millisecond} {
			t.Run(fmt.Sprintf("%s %s, after %s", c.method, c.head, delay), func(t *testing.T) {
				t.Parallel()
				f := newFixture(t, newStub(t, "u1", respondTwice(c.head, after, delay)))
				var callers sync.WaitGroup
				for range 4 {
					callers.Go(func() {
						for range 25 {
							got := f.do(t.Context(), c.method, "/place/x", "p")
							if got.err == nil && got.status < 400 && got.body != c.body {
								t.Errorf("status %d, body %q", got.status, got.body)
							}
						}
					})
				}
				callers.Wait()
			})
		}
	}
}

// respondTwice returns a handler that sends a response, and further bytes with it or after a delay.
func respondTwice(response, after string, delay time.Duration) stubHandler {
	if delay == 0 {
		return respondText(response + after)
	}
	return func(conn net.Conn, r receivedRequest) bool {
		if !respondText(response)(conn, r) {
			return false
		}
		time.Sleep(delay)
		return respondText(after)(conn, r)
	}
}
