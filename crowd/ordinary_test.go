//go:build crowd

package crowd

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// answerTimeout limits the time until an ordinary caller has its answer, also one who was told to
// come back. It only keeps a test from waiting without end.
const answerTimeout = 30 * time.Second

// crowdHost is the host name that requests are sent to.
const crowdHost = "crowd"

// ordinary is a request inside the limits that a host answers.
type ordinary struct {
	url    string
	header http.Header
}

// try sends the request once over a new connection.
func (o ordinary) try(body io.Reader, length int64) (int, error) {
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	return o.send(&http.Client{Transport: transport, Timeout: answerTimeout}, body, length)
}

// send sends the request once, and returns the status of its answer.
func (o ordinary) send(client *http.Client, body io.Reader, length int64) (int, error) {
	r, err := http.NewRequest(http.MethodPost, o.url, body)
	if err != nil {
		return 0, err
	}
	r.ContentLength = length
	r.Header = o.header.Clone()
	r.Host = crowdHost
	response, err := client.Do(r)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}

// checkAnswered fails the test unless the request is answered. A caller may be told to come back.
func (o ordinary) checkAnswered(t *testing.T) {
	t.Helper()
	last := ""
	for deadline := time.Now().Add(answerTimeout); time.Now().Before(deadline); time.Sleep(200 * time.Millisecond) {
		body := bytes.Repeat([]byte("x"), 30<<10)
		status, err := o.try(bytes.NewReader(body), int64(len(body)))
		if status == http.StatusOK && err == nil {
			return
		}
		last = fmt.Sprintf("status %d, error %v", status, err)
	}
	t.Errorf("an ordinary request was not answered, last: %s", last)
}

// slowReader returns its bytes in pieces with pauses.
type slowReader struct {
	reader io.Reader
	pause  time.Duration
}

func (s slowReader) Read(p []byte) (int, error) {
	time.Sleep(s.pause)
	return s.reader.Read(p[:min(len(p), 256<<10)])
}

// checkLimitsServed fails the test unless single requests just inside the limits are served: the
// longest body, declared and in chunks, and a head of nearly the limit that comes slowly.
func (o ordinary) checkLimitsServed(t *testing.T) {
	t.Helper()
	for name, length := range map[string]int64{"declared": maxBody, "chunked": -1} {
		body := slowReader{bytes.NewReader(bytes.Repeat([]byte("x"), maxBody)), 20 * time.Millisecond}
		if status, err := o.try(body, length); status != http.StatusOK || err != nil {
			t.Errorf("%s body of %d bytes: status %d, error %v", name, maxBody, status, err)
		}
	}
	o.checkLongHeadServed(t)
}

func (o ordinary) checkLongHeadServed(t *testing.T) {
	t.Helper()
	address, path, _ := strings.Cut(strings.TrimPrefix(o.url, "http://"), "/")
	conn, err := net.Dial("tcp4", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	var head bytes.Buffer
	fmt.Fprintf(&head, "POST /%s HTTP/1.1\r\nHost: %s\r\nContent-Length: 1\r\nConnection: close\r\n", path, crowdHost)
	_ = o.header.Write(&head) // a buffer takes all
	fmt.Fprintf(&head, "Filler: %s\r\n\r\n", strings.Repeat("x", maxHead-head.Len()-100))
	for _, part := range bytes.SplitAfter(head.Bytes(), bytes.Repeat([]byte("x"), 2<<10)) {
		if _, err := conn.Write(part); err != nil {
			t.Fatal(err)
		}
		time.Sleep(200 * time.Millisecond)
	}
	_, _ = conn.Write([]byte("x"))
	_ = conn.SetReadDeadline(time.Now().Add(answerTimeout))
	answer, _ := io.ReadAll(conn)
	if !bytes.HasPrefix(answer, []byte("HTTP/1.1 200 ")) {
		t.Errorf("a head of %d bytes: answer %.200q", head.Len(), answer)
	}
}
