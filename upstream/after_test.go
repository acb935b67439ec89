package upstream

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"mulberrydyke/plan"
)

// TestWhatFollowsAResponseIsNoAnswer guards against bytes that follow a response, and look like another,
// which the next request over the same connection gets as its answer.
func TestWhatFollowsAResponseIsNoAnswer(t *testing.T) {
	const after = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong"
	for _, c := range []struct{ method, response, body string }{
		{"POST", "HTTP/1.1 204 X\r\n\r\n", ""},
		{"POST", "HTTP/1.1 304 X\r\nContent-Length: 5\r\n\r\n", ""},
		{"HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n", ""},
		{"POST", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", ""},
		{"POST", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nright", "right"},
		{"POST", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nright\r\n0\r\n\r\n", "right"},
	} {
		t.Run(c.method+" "+c.response, func(t *testing.T) {
			t.Parallel()
			listener, err := net.Listen("tcp4", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer listener.Close()
			go respondToAll(listener, c.response+after)
			client, cleanup := NewClient(plan.Upstream{ID: "u", Address: listener.Addr().String()}, 5*time.Second)
			defer cleanup()
			var callers sync.WaitGroup
			for range 8 {
				callers.Go(func() {
					for i := range 25 {
						answer, err := client.Call(t.Context(), Request{ID: fmt.Sprint(i), Method: c.method, Path: "/"}, 1<<10)
						if err == nil && string(answer.Body) != c.body {
							t.Errorf("a caller got %q", answer.Body)
						}
					}
				})
			}
			callers.Wait()
		})
	}
}

// TestSoundResponsesKeepTheirConnection guards against a check that takes a part of a sound response for
// bytes after it, and costs the connection.
func TestSoundResponsesKeepTheirConnection(t *testing.T) {
	for _, c := range []struct{ method, response string }{
		{"POST", "HTTP/1.1 204 X\r\nContent-Length: 0\r\n\r\n"},
		{"POST", "HTTP/1.1 304 X\r\nContent-Length: 5\r\n\r\n"},
		{"HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n"},
		{"HEAD", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"},
		{"POST", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 X\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nright"},
		{"POST", "HTTP/1.1 200 OK\r\nContent-Length: 5000\r\n\r\n" + strings.Repeat("right", 1000)},
		{"POST", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;a=b\r\nright\r\n0\r\nX-A: b\r\n\r\n"},
		{"POST", "HTTP/1.0 200 OK\r\nConnection: keep-alive\r\nContent-Length: 5\r\n\r\nright"},
	} {
		listener, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		counted := &countingListener{Listener: listener}
		go respondToAll(counted, c.response)
		client, cleanup := NewClient(plan.Upstream{ID: "u", Address: listener.Addr().String()}, 5*time.Second)
		for i := range 50 {
			if _, err := client.Call(t.Context(), Request{ID: fmt.Sprint(i), Method: c.method, Path: "/"}, 1<<20); err != nil {
				t.Errorf("%s %q: %v", c.method, c.response, err)
			}
		}
		if diff := cmp.Diff(int64(1), counted.accepted.Load()); diff != "" {
			t.Errorf("%s %q: connections: %s", c.method, c.response, diff)
		}
		cleanup()
		_ = listener.Close()
	}
}

// countingListener counts the connections that it accepts.
type countingListener struct {
	net.Listener
	accepted atomic.Int64
}

func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		l.accepted.Add(1)
	}
	return c, err
}

// respondToAll sends the same bytes in response to each request.
func respondToAll(listener net.Listener, response string) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go func() {
			defer conn.Close()
			for reader := bufio.NewReader(conn); ; {
				if _, err := http.ReadRequest(reader); err != nil {
					return
				}
				if _, err := io.WriteString(conn, response); err != nil {
					return
				}
			}
		}()
	}
}
