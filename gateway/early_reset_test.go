package gateway

import (
	"bufio"
	"flag"
	"fmt"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// resetRounds is the number of requests of each kind whose response is reset.
var resetRounds = flag.Int("reset-rounds", 2, "requests of each kind whose response is reset")

// maxUnreadWait limits the wait for bytes of an upload, which come at once.
const maxUnreadWait = 5 * time.Second

// earlyReset is how an upstream responds to a request before it has read the body, and then resets the
// connection.
type earlyReset struct {
	// head is sent before part, with the ID of the request in place of %s.
	head, part string
	// moment is how long after the response the connection is reset.
	moment time.Duration
	// unread is set if the reset is that of a close with bytes unread, and not one by choice.
	unread bool
}

// serve responds to one request.
func (r earlyReset) serve(c *net.TCPConn) {
	request, err := http.ReadRequest(bufio.NewReaderSize(c, 1<<10))
	if err != nil {
		return
	}
	_, _ = fmt.Fprintf(c, r.head+r.part, request.Header.Get("Request-Id"))
	time.Sleep(r.moment)
	if !r.unread {
		resetConn(c)
		return
	}
	awaitUnread(c)
	_ = c.Close()
}

// awaitUnread waits until a connection has bytes that are not read, at most for maxUnreadWait.
func awaitUnread(c syscall.Conn) {
	raw, err := c.SyscallConn()
	if err != nil {
		return
	}
	end := time.Now().Add(maxUnreadWait)
	for bytes := 0; bytes == 0 && err == nil && time.Now().Before(end); time.Sleep(time.Millisecond) {
		err = raw.Control(func(fd uintptr) { bytes, _ = unix.IoctlGetInt(int(fd), unix.TIOCINQ) })
	}
}

// TestEarlyResponseThatIsResetIsNeverWhole checks that the part of a response without a length, which
// an upstream sends at once and then resets while the upload is still being written, is never passed on
// as a whole response, nor as a proof that the request has not run.
func TestEarlyResponseThatIsResetIsNeverWhole(t *testing.T) {
	const ids = "Request-Id: %s\r\nResponse-Seal: s\r\n"
	heads := map[string]string{
		"HTTP/1.1":            "HTTP/1.1 200 OK\r\n" + ids + "\r\n",
		"HTTP/1.1, to close":  "HTTP/1.1 200 OK\r\nConnection: close\r\n" + ids + "\r\n",
		"HTTP/1.0":            "HTTP/1.0 200 OK\r\n" + ids + "\r\n",
		"after an interim":    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n" + ids + "\r\n",
		"HTTP/1.1, no reason": "HTTP/1.1 200 \r\n" + ids + "\r\n",
	}
	moments := []time.Duration{0, time.Millisecond, 20 * time.Millisecond}
	for name, head := range heads {
		for path, part := range map[string]string{"/place/x": "half an ans", "/status/x": "half an ans", "/draft/x": eventText(1, 2)} {
			for _, unread := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, %s, unread %t", name, path, unread), func(t *testing.T) {
					t.Parallel()
					for _, moment := range moments {
						checkEarlyReset(t, path, earlyReset{head: head, part: part, moment: moment, unread: unread})
					}
				})
			}
		}
	}
}

// checkEarlyReset sends requests with bodies of several lengths to upstreams that reset their responses.
func checkEarlyReset(t *testing.T, path string, r earlyReset) {
	t.Helper()
	for _, bodyBytes := range []int{5 << 10, 100_000, 1_000_000, 12 << 20} {
		body := strings.Repeat("x", bodyBytes)
		for range *resetRounds {
			f := newFixture(t, listenStub(t, "u1", r.serve), listenStub(t, "u2", r.serve))
			got := f.post(path, body)
			if got.status >= 200 && got.status <= 299 && got.err == nil {
				t.Errorf("reset after %s, upload of %d bytes: status %d and a body that looks whole, %q", r.moment, bodyBytes, got.status, got.body)
			}
			if got.status == http.StatusServiceUnavailable {
				t.Errorf("reset after %s, upload of %d bytes: a request that may have run is said not to have", r.moment, bodyBytes)
			}
			f.frontend.Close()
		}
	}
}
