package gateway

import (
	"fmt"
	"io"
	"net"
	"testing"
)

// TestEarlierRefusalIsNotTakenForAnAnswer guards against telling callers that a request did not
// run, or running it again elsewhere, because its upstream wrote an earlier refusal once more on
// a kept connection.
func TestEarlierRefusalIsNotTakenForAnAnswer(t *testing.T) {
	for name, earlier := range map[string]string{
		"with the earlier ID": "HTTP/1.1 503 X\r\nRequest-Id: id-0\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n",
		"without an ID":       "HTTP/1.1 503 X\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n",
		"busy, without an ID": "HTTP/1.1 429 X\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n",
		"another instance":    "HTTP/1.1 421 X\r\nInstance-Id: u1\r\nContent-Length: 0\r\n\r\n",
	} {
		requests := 0
		var f *fixture
		other := newStub(t, "u2", respond(200, "elsewhere"))
		u := newStub(t, "u1", func(conn net.Conn, r receivedRequest) bool {
			requests++
			if requests > 1 {
				f.list(other)
				io.WriteString(conn, earlier)
			}
			return respond(200, fmt.Sprintf("run %d", requests))(conn, r)
		})
		f = newFixture(t, u)
		f.post("/place/", "first")
		got := f.post("/place/", "second")
		if got.status != 502 && got.body != "run 2" {
			t.Errorf("%s: status %d, body %q, want the answer, or a failure that promises nothing", name, got.status, got.body)
		}
		if n := len(u.requests()) + len(other.requests()); n != 2 {
			t.Errorf("%s: %d requests were sent, want 2", name, n)
		}
	}
}
