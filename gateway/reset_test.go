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

	"mulberrydyke/plan"
)

// longBodyBytes is the length of a request body that no send buffer holds.
const longBodyBytes = 4 << 20

// respondEarly returns an upstream that responds without a length before it has read a long body, and
// then ends the connection.
func respondEarly(t *testing.T, body string, end func(*net.TCPConn)) *stub {
	t.Helper()
	return listenStub(t, "u1", func(c *net.TCPConn) {
		r, err := http.ReadRequest(bufio.NewReaderSize(c, 1<<10))
		if err != nil {
			return
		}
		_, _ = io.CopyN(io.Discard, r.Body, 64<<10)
		respondUnframed(body)(c, receivedRequest{Request: r})
		time.Sleep(20 * time.Millisecond) // the response arrives
		end(c)
	})
}

// listenStub returns an upstream that has each of its connections served by a function.
func listenStub(t *testing.T, id plan.UpstreamID, serve func(*net.TCPConn)) *stub {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(conn.(*net.TCPConn))
		}
	}()
	return &stub{id: id, listener: listener}
}

// resetConn closes a connection with a reset.
func resetConn(c *net.TCPConn) { _ = c.SetLinger(0); _ = c.Close() }

// TestResetWhileALongBodyIsSentIsNotWhole guards against responses that are passed on as whole though
// the upstream was killed in the middle: the pending write of the request's body got the error, and
// the read of the response saw its end.
func TestResetWhileALongBodyIsSentIsNotWhole(t *testing.T) {
	const rounds = 8
	for path, body := range map[string]string{"/place/x": "half an ans", "/draft/x": eventText(1, 2)} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, respondEarly(t, body, resetConn))
			for i := range rounds {
				got := f.post(fmt.Sprintf("%s%d", path, i), strings.Repeat("x", longBodyBytes))
				if got.status >= 200 && got.status <= 299 && got.err == nil {
					t.Errorf("round %d: status %d and a body that looks whole, %q", i, got.status, got.body)
				}
				if got.status == http.StatusServiceUnavailable {
					t.Errorf("round %d: a request that may have run is said not to have", i)
				}
			}
		})
	}
}

// TestOrderlyEndWhileALongBodyIsSentIsWhole checks that a sound upstream which ends its response in
// order, and reads the body later or never, stays served.
func TestOrderlyEndWhileALongBodyIsSentIsWhole(t *testing.T) {
	for name, end := range map[string]func(*net.TCPConn){
		"never": func(c *net.TCPConn) { _ = c.CloseWrite(); time.Sleep(50 * time.Millisecond); _ = c.Close() },
		"later": func(c *net.TCPConn) { _ = c.CloseWrite(); _, _ = io.Copy(io.Discard, c); _ = c.Close() },
	} {
		for path, body := range map[string]string{"/place/x": "the whole answer", "/draft/x": eventText(1, 3)} {
			t.Run(name+path, func(t *testing.T) {
				t.Parallel()
				f := newFixture(t, respondEarly(t, body, end))
				if got := f.post(path, strings.Repeat("x", longBodyBytes)); got.status != 200 || got.err != nil || got.body != body {
					t.Errorf("status %d, body %q, error %v", got.status, got.body, got.err)
				}
			})
		}
	}
}
