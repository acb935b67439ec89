package gateway

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"

	"mulberrydyke/plan"
)

// cutAnswer is an answer of an upstream, of which only the first bytes arrive.
type cutAnswer struct {
	name, text string
	// unframed is set if only the end of the connection marks the end of the body, so
	// that a body that is cut by a close can't be told from a whole one.
	unframed bool
}

// cutAnswers returns answers that frame their bodies in different ways.
func cutAnswers() []cutAnswer {
	const head = "HTTP/1.1 200 OK\r\nRequest-Id: id-1\r\nResponse-Seal: s\r\n"
	const event = "id: 1\ndata: d1\n\n"
	chunked := fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(event), event)
	return []cutAnswer{
		{name: "length", text: head + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(event), event)},
		{name: "length first", text: fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\nRequest-Id: id-1\r\nResponse-Seal: s\r\n\r\n%s", len(event), event)},
		{name: "chunks", text: head + chunked},
		{name: "end of the connection", text: head + "\r\n" + event, unframed: true},
		{name: "after an interim head", text: "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + head + chunked},
		{name: "not run", text: "HTTP/1.1 503 X\r\nRequest-Id: id-1\r\nNot-Executed: 1\r\n\r\n", unframed: true},
	}
}

// headBytes returns the length of all heads.
func (a cutAnswer) headBytes() int {
	n := strings.Index(a.text, "\r\n\r\n") + 4
	if strings.Contains(a.text, " 103 ") {
		n += strings.Index(a.text[n:], "\r\n\r\n") + 4
	}
	return n
}

// answerCut returns a handler that sends the first bytes of an answer and closes the
// connection, after a number of whole answers on it.
func answerCut(a cutAnswer, bytes, wholeAnswers int) stubHandler {
	answered := 0
	return func(conn net.Conn, r receivedRequest) bool {
		if answered++; answered <= wholeAnswers {
			return respond(200, eventText(1, 1))(conn, r)
		}
		io.WriteString(conn, a.text[:bytes])
		return false
	}
}

// checkCut checks what the caller of a request gets whose answer was cut. The request
// may have run.
func checkCut(t *testing.T, a cutAnswer, bytes int, got callerResponse) {
	t.Helper()
	whole := got.err == nil && got.body == eventText(1, 1)
	switch {
	case bytes < a.headBytes() && got.err == nil && got.status == 200 && !whole:
		t.Errorf("cut after %d bytes, in the head: 200 and %q", bytes, got.body)
	case bytes < a.headBytes() && got.status == 503:
		t.Errorf("cut after %d bytes, in the head: said not to have run", bytes)
	case bytes < len(a.text) && !a.unframed && got.err == nil && got.status == 200 && !whole:
		t.Errorf("cut after %d bytes, in the body: 200 and %q", bytes, got.body)
	}
}

// TestHeadThatEndsInTheMiddleIsNoAnswer guards against an answer whose head is cut, at
// any byte, and that callers get as a whole answer with an empty or a short body, or as
// a refusal that says that the request has not run.
func TestHeadThatEndsInTheMiddleIsNoAnswer(t *testing.T) {
	for _, a := range cutAnswers() {
		for _, path := range []string{"/place/x", "/draft/x"} {
			for _, wholeAnswers := range []int{0, 1} {
				t.Run(fmt.Sprintf("%s, %s, %d answers before", a.name, path, wholeAnswers), func(t *testing.T) {
					t.Parallel()
					for bytes := range len(a.text) {
						f := newFixture(t, newStub(t, "u1", answerCut(a, bytes, wholeAnswers)))
						if wholeAnswers > 0 {
							f.post("/place/y", "first")
						}
						checkCut(t, a, bytes, f.post(path, "p"))
						f.frontend.Close()
					}
				})
			}
		}
	}
}

// TestRetryAfterACutHeadIsWhole checks that requests that may be retried, and streams
// that are resumed, are answered whole by another upstream if the first one's head is cut,
// also if it is the second one's.
func TestRetryAfterACutHeadIsWhole(t *testing.T) {
	for _, a := range cutAnswers() {
		if a.name == "not run" {
			continue
		}
		for path, stream := range map[string]bool{"/status/x": false, "/letter/x": true} {
			t.Run(a.name+", "+path, func(t *testing.T) {
				t.Parallel()
				for bytes := range a.headBytes() {
					answer := respond(200, eventText(1, 1))
					if stream {
						answer = respondStream(1, 1)
					}
					f := newFixture(t, newStub(t, "u1", answerCut(a, bytes, 0)), newStub(t, plan.UpstreamID("u2"), answer))
					if got := f.post(path, "p"); got.status != 200 || got.err != nil || got.body != eventText(1, 1) {
						t.Errorf("cut after %d bytes: %d %v %q", bytes, got.status, got.err, got.body)
					}
					f.frontend.Close()
				}
			})
		}
	}
}
