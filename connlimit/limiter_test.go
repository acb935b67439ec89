package connlimit

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
	"testing"
	"time"
)

// newServer serves requests with bodies of at most 64 KiB within limits, and returns its address.
func newServer(t *testing.T, limits Limits) (*Limiter, string) {
	t.Helper()
	inner, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := NewLimiter(limits, "test", slog.New(slog.DiscardHandler))
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := ReadBody(r.Context(), r.Body, r.ContentLength, 64<<10)
		if err == ErrLimitReached {
			w.Header().Set("Connection", "close")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		fmt.Fprintf(w, "%d", len(body))
	})}
	l.Apply(s)
	go func() { _ = s.Serve(l.Listen(inner)) }()
	t.Cleanup(func() { _ = s.Close() })
	return l, inner.Addr().String()
}

// open opens a connection and sends text there.
func open(t *testing.T, address, text string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp4", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	if _, err := io.WriteString(conn, text); err != nil {
		t.Fatal(err)
	}
	return conn
}

func readStatus(t *testing.T, r *bufio.Reader) int {
	t.Helper()
	response, err := http.ReadResponse(r, nil)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode
}

// await waits until a condition holds.
func await(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for range 1000 {
		if ok() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatal(what)
}

// chunkedStart is a request with the first 32 KiB of a body in chunks.
var chunkedStart = "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n8000\r\n" + strings.Repeat("x", 32<<10) + "\r\n"

// TestStalledBodyIsRefusedForNewerOne guards against bodies that stop midway and keep the memory
// from others.
func TestStalledBodyIsRefusedForNewerOne(t *testing.T) {
	l, address := newServer(t, Limits{Conns: 8, Bytes: 110 << 10})
	stalled := open(t, address, chunkedStart)
	await(t, "the body was not counted", func() bool { return l.Bytes() > 64<<10 && l.Bytes() < 70<<10 })
	newer := open(t, address, chunkedStart)
	if status := readStatus(t, bufio.NewReader(stalled)); status != http.StatusServiceUnavailable {
		t.Errorf("status %d for the stalled body", status)
	}
	_, _ = io.WriteString(newer, "0\r\n\r\n") // the answer shows whether it arrived
	if status := readStatus(t, bufio.NewReader(newer)); status != http.StatusOK {
		t.Errorf("status %d for the newer body", status)
	}
	await(t, "memory is still counted", func() bool { return l.Bytes() == 0 })
}

// TestFullLimiterAcceptsNewConnection guards against a host that accepts nobody while others hold
// its connections open.
func TestFullLimiterAcceptsNewConnection(t *testing.T) {
	l, address := newServer(t, Limits{Conns: 4, Bytes: 1 << 20})
	for range 6 {
		open(t, address, "")
	}
	conn := open(t, address, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	if status := readStatus(t, bufio.NewReader(conn)); status != http.StatusOK {
		t.Errorf("status %d", status)
	}
	if n := l.OpenConns(); n > 4 {
		t.Errorf("%d connections are open", n)
	}
}

// TestKeepAliveAndPipelining guards against limits that break connections with several requests.
func TestKeepAliveAndPipelining(t *testing.T) {
	l, address := newServer(t, Limits{Conns: 4, Bytes: 1 << 20})
	request := "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc"
	conn := open(t, address, request+request)
	reader := bufio.NewReader(conn)
	for i := range 4 {
		if i >= 2 {
			_, _ = io.WriteString(conn, request) // the answer shows whether it arrived
		}
		if status := readStatus(t, reader); status != http.StatusOK {
			t.Errorf("request %d: status %d", i, status)
		}
	}
	await(t, "memory is still counted", func() bool { return l.Bytes() == 0 })
}

// TestContinueAndHalfClose guards against limits that break callers who wait for 100 Continue, or
// close their side after the request.
func TestContinueAndHalfClose(t *testing.T) {
	_, address := newServer(t, Limits{Conns: 4, Bytes: 1 << 20})
	conn := open(t, address, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\nExpect: 100-continue\r\n\r\n")
	reader := bufio.NewReader(conn)
	if status := readStatus(t, reader); status != http.StatusContinue {
		t.Errorf("status %d", status)
	}
	_, _ = io.WriteString(conn, "abc") // the answer shows whether it arrived
	_ = conn.(*net.TCPConn).CloseWrite()
	if status := readStatus(t, reader); status != http.StatusOK {
		t.Errorf("status %d", status)
	}
}

// TestBodyGrowsAsItArrives guards against memory that is reserved for what was only declared.
func TestBodyGrowsAsItArrives(t *testing.T) {
	body, err := ReadBody(context.Background(), strings.NewReader("abc"), 3, 4<<20)
	if err != nil || string(body) != "abc" || cap(body) > 8 {
		t.Errorf("%d bytes of %d, error %v", len(body), cap(body), err)
	}
	body, err = ReadBody(context.Background(), strings.NewReader("abc"), -1, 4<<20)
	if err != nil || cap(body) > firstBodyBytes {
		t.Errorf("%d bytes of %d, error %v", len(body), cap(body), err)
	}
}

// TestAnsweredRequestIsNotRefused guards against a refusal of a request that ran, within its answer
// or after it, and against running a request that was refused.
func TestAnsweredRequestIsNotRefused(t *testing.T) {
	l := NewLimiter(Limits{Conns: 4, Bytes: 1 << 20}, "test", slog.New(slog.DiscardHandler))
	near, far := net.Pipe()
	defer far.Close()
	c := l.admit(near)
	r := httptest.NewRequest(http.MethodGet, "/", nil)
	if !c.beginRequest(r) {
		t.Fatal("the request may not run")
	}
	if l.endOne() {
		t.Error("a running request was ended")
	}
	c.endRequest()
	if l.endOne() {
		t.Error("a connection was ended whose answer is being sent")
	}
	c.becomeIdle()
	if !l.endOne() {
		t.Error("an idle connection was not ended")
	}
	if c.beginRequest(r) {
		t.Error("a request may run on a connection that was ended")
	}
	_ = c.Close()
	if n := l.OpenConns(); n != 0 {
		t.Errorf("%d connections are counted", n)
	}
}

// TestRestOfRefusedBodyIsNoHead guards against callers whose refused bodies are charged as heads, at
// many times their size, and so end the bodies of others.
func TestRestOfRefusedBodyIsNoHead(t *testing.T) {
	l, address := newServer(t, Limits{Conns: 4, Bytes: 1 << 20})
	conn := open(t, address, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 200000\r\n\r\n")
	if _, err := conn.Write(make([]byte, 50_000)); err != nil {
		t.Fatal(err)
	}
	// The server awaits the rest of the body before it sends its answer.
	for range 100 {
		if n := l.Bytes(); n > 100_000 {
			t.Fatalf("%d bytes are charged for the rest of a refused body", n)
		}
		time.Sleep(2 * time.Millisecond)
	}
}
