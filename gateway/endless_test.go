package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"mulberrydyke/plan"
)

// maxEndlessHeap is the heap that fifty responses without end may take beyond that of
// the test: a small host has 134 MB.
const maxEndlessHeap = 64 << 20

// sendEndlessly returns a handler that sends a start and then a text again and again,
// until the other end closes the connection.
func sendEndlessly(start, text string) stubHandler {
	return func(conn net.Conn, r receivedRequest) bool {
		fmt.Fprintf(conn, start, r.Header.Get("Request-Id"))
		chunk := []byte(strings.Repeat(text, 1+(16<<10)/len(text)))
		for {
			if _, err := conn.Write(chunk); err != nil {
				return false
			}
		}
	}
}

// TestEndlessResponsesAreCut has fifty upstreams send bytes without end, in the head or
// in the body. The host must close their connections while its memory stays flat. A
// request that may have run is never called not run.
func TestEndlessResponsesAreCut(t *testing.T) {
	for name, handler := range map[string]stubHandler{
		"status line":     sendEndlessly("HTTP/1.1 200 %s", "x"),
		"header line":     sendEndlessly("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nX: ", "x"),
		"header lines":    sendEndlessly("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n", "X: 0123456789\r\n"),
		"interim heads":   sendEndlessly("HTTP/1.1 103 %s\r\n\r\n", "HTTP/1.1 103 X\r\n\r\n"),
		"no response":     sendEndlessly("%.0s", "\x00\x01 no HTTP \xff"),
		"body":            sendEndlessly("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: s\r\n\r\n", "x"),
		"chunked body":    sendEndlessly("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nxxxx\r\n"),
		"chunk extension": sendEndlessly("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n4;", "x"),
		"not-run body":    sendEndlessly("HTTP/1.1 503 X\r\nRequest-Id: %s\r\nNot-Executed: 1\r\n\r\n", "x"),
	} {
		t.Run(name, func(t *testing.T) {
			var stubs []*stub
			for i := range 50 {
				stubs = append(stubs, newStub(t, plan.UpstreamID(fmt.Sprint("u", i)), handler))
			}
			f := newFixture(t, stubs...)
			runtime.GC()
			peak := watchHeap()
			var wg sync.WaitGroup
			for range 50 {
				wg.Go(func() { checkEndless(t, name, f.post("/place/x", "order")) })
			}
			wg.Wait()
			if most := peak(); most > maxEndlessHeap {
				t.Errorf("the heap grew by %d MB, want at most %d", most>>20, maxEndlessHeap>>20)
			}
		})
	}
}

// checkEndless checks the response to a request that may not be repeated.
func checkEndless(t *testing.T, name string, got callerResponse) {
	if got.err != nil && got.err != io.ErrUnexpectedEOF {
		t.Errorf("no response: %v", got.err)
		return
	}
	// A slow machine may not reach the limit before the request's own time is up.
	want := []int{http.StatusBadGateway, http.StatusGatewayTimeout}
	if name == "not-run body" {
		want = []int{http.StatusServiceUnavailable}
	}
	if !slices.Contains(want, got.status) {
		t.Errorf("status %d, want one of %v", got.status, want)
	}
}

// watchHeap returns a function that returns by how much the heap has grown at the most
// since.
func watchHeap() func() uint64 {
	heap := func() uint64 {
		var stats runtime.MemStats
		runtime.ReadMemStats(&stats)
		return stats.HeapAlloc
	}
	before, most := heap(), uint64(0)
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		for {
			select {
			case <-stop:
				return
			case <-time.After(5 * time.Millisecond):
				most = max(most, heap())
			}
		}
	}()
	return func() uint64 {
		close(stop)
		<-stopped
		return max(most, before) - before
	}
}

// TestSmallAnswersPassBesideOnesWithoutEnd guards against hosts that fail sound answers,
// because others without end have taken all the memory that a host sets apart for answers.
func TestSmallAnswersPassBesideOnesWithoutEnd(t *testing.T) {
	f := newFixture(t, newStub(t, "u1", func(conn net.Conn, r receivedRequest) bool {
		if strings.HasPrefix(r.URL.Path, "/draft/") {
			return respondStream(1, 5)(conn, r)
		}
		return respond(200, "done")(conn, r)
	}))
	f.server.bufferedBytes.Add(maxBufferedBytes)
	for path, want := range map[string]string{"/place/x": "done", "/draft/x": eventText(1, 5)} {
		if got := f.post(path, "p"); got.status != 200 || got.err != nil || got.body != want {
			t.Errorf("%s: %d %v %q", path, got.status, got.err, got.body)
		}
	}
	if left := f.server.bufferedBytes.Load(); left != maxBufferedBytes {
		t.Errorf("%d bytes are still counted", left-maxBufferedBytes)
	}
}
