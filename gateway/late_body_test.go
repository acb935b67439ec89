package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"mulberrydyke/plan"
)

// lateReader is an upstream that reads the rest of a long body late.
type lateReader struct {
	delay time.Duration
	// bufferBytes is the size of its receive buffer. Zero selects the system's default.
	bufferBytes int
	// answersFirst is set if the plain answer comes before the body is read.
	answersFirst bool
	// received gets the number of bytes of each body that arrived.
	received chan int64
}

// listen starts the upstream.
func (u *lateReader) listen(t *testing.T, id plan.UpstreamID) *stub {
	t.Helper()
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		if u.bufferBytes == 0 {
			return nil
		}
		return c.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, u.bufferBytes)
		})
	}}
	listener, err := config.Listen(context.Background(), "tcp4", "127.0.0.1:0")
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
			go u.serve(conn)
		}
	}()
	return &stub{id: id, listener: listener}
}

// serve answers one request. A stream has an event each 100 ms while the body waits.
func (u *lateReader) serve(conn net.Conn) {
	defer conn.Close()
	r, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	got := receivedRequest{Request: r}
	plain := respond(200, "done")
	if strings.HasPrefix(r.URL.Path, "/draft/") {
		writeStreamHeader(conn, got)
		for i := range int(u.delay / (100 * time.Millisecond)) {
			writeEvents(conn, i+1, i+1)
			time.Sleep(100 * time.Millisecond)
		}
	} else {
		if u.answersFirst {
			plain(conn, got)
		}
		time.Sleep(u.delay)
	}
	n, _ := io.Copy(io.Discard, r.Body) // the sender may have closed the connection
	u.received <- n
	if strings.HasPrefix(r.URL.Path, "/draft/") {
		io.WriteString(conn, "0\r\n\r\n")
	} else if !u.answersFirst {
		plain(conn, got)
	}
}

// TestAnswerWhoseBodyIsReadLateIsWhole guards against answers that were cut after 0.8 s
// because the upstream had not yet read a long body, though it acknowledged all that it
// had room for.
func TestAnswerWhoseBodyIsReadLateIsWhole(t *testing.T) {
	for _, delay := range []time.Duration{500 * time.Millisecond, 2 * time.Second, 3 * time.Second} {
		for _, bodyBytes := range []int{110_000, 4 << 20} {
			for _, bufferBytes := range []int{32 << 10, 0} {
				for _, path := range []string{"/place/x", "/draft/x", "/place/first"} {
					u := &lateReader{delay: delay, bufferBytes: bufferBytes, answersFirst: path == "/place/first", received: make(chan int64, 1)}
					t.Run(fmt.Sprintf("%s, %d bytes after %v, buffer of %d", path, bodyBytes, delay, bufferBytes), func(t *testing.T) {
						t.Parallel()
						f := newFixture(t, u.listen(t, "u1"))
						got := f.post(path, strings.Repeat("x", bodyBytes))
						want := callerResponse{status: 200, body: "done"}
						if path == "/draft/x" {
							want.body = eventText(1, int(delay/(100*time.Millisecond)))
						}
						got.header = nil
						if diff := cmp.Diff(want, got, cmp.AllowUnexported(callerResponse{})); diff != "" {
							t.Error(diff)
						}
						if n := <-u.received; !u.answersFirst && n != int64(bodyBytes) {
							t.Errorf("%d bytes of the body arrived, want %d", n, bodyBytes)
						}
					})
				}
			}
		}
	}
}

// TestBodyThatIsNeverReadCostsItsOwnRequest checks that an upstream which reads no body
// until the deadline fails that request only, at its deadline.
func TestBodyThatIsNeverReadCostsItsOwnRequest(t *testing.T) {
	t.Parallel()
	u := &lateReader{delay: 6 * time.Second, bufferBytes: 32 << 10, received: make(chan int64, 1)}
	f := newFixture(t, u.listen(t, "u1"))
	began := time.Now()
	late := make(chan callerResponse, 1)
	go func() { late <- f.post("/place/x", strings.Repeat("x", 110_000)) }()
	time.Sleep(time.Second)
	quick := newStub(t, "u2", respond(200, "done"))
	f.list(quick)
	for range 5 {
		if got := f.post("/place/y", "short"); got.status != 200 && got.status != 504 {
			t.Errorf("another request: %d %v", got.status, got.err)
		}
	}
	if got := <-late; got.status != 504 {
		t.Errorf("%d %v", got.status, got.err)
	}
	if took := time.Since(began); took < 3900*time.Millisecond || took > 5*time.Second {
		t.Errorf("took %v", took)
	}
}
