package edge

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// TestOptionsForNoRouteIsNoSuccess guards against a success that no upstream gave: net/http answers
// OPTIONS * by itself. To callers the answer is that for any target without a route, and their
// connection stays.
func TestOptionsForNoRouteIsNoSuccess(t *testing.T) {
	proceed := make(chan struct{})
	close(proceed)
	f := newFixture(t, newStreamingUpstream(t, proceed))
	for url, requests := range map[string]int{f.callerURL: 2, f.readyURL: 1} {
		address := strings.SplitN(strings.TrimPrefix(url, "http://"), "/", 2)[0]
		conn, err := net.DialTimeout("tcp4", address, time.Second)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		reader := bufio.NewReader(conn)
		for range requests {
			_, _ = io.WriteString(conn, "OPTIONS * HTTP/1.1\r\nHost: h\r\nRequest-Id: a\r\n\r\n")
			response, err := http.ReadResponse(reader, nil)
			if err != nil {
				t.Fatalf("%s: %v", url, err)
			}
			_, _ = io.Copy(io.Discard, response.Body)
			if response.StatusCode < 400 || response.StatusCode > 499 {
				t.Errorf("%s: status %d", url, response.StatusCode)
			}
		}
	}
}
