package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// malformedResponse is a response whose head the standard doesn't allow, with the ID of the request in
// place of each %[1]s.
type malformedResponse struct{ name, text string }

// signed are the fields that make a response count as that of an upstream to a request.
const signed = "Request-Id: %[1]s\r\nResponse-Seal: s\r\n"

// malformedStatuses are responses whose status lines are malformed. What follows some of them looks like
// another response.
func malformedStatuses() []malformedResponse {
	const body = "Content-Length: 5\r\n\r\nwrong"
	responseInside := "HTTP/1.1 200 OK\r\n" + signed + body
	return []malformedResponse{
		{"status 000", "HTTP/1.1 000 X\r\n" + signed + body},
		{"status 000 and a response as its body", "HTTP/1.1 000 X\r\n" + signed + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(responseInside)) + responseInside},
		{"status 099 and a response as its body", "HTTP/1.1 099 X\r\n\r\n" + responseInside},
		{"status +20 and a response as its body", "HTTP/1.1 +20 X\r\n\r\n" + responseInside},
		{"status 000 after an interim head", "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 000 X\r\n\r\n" + responseInside},
		{"another protocol, and a response in it", "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n" + responseInside},
		{"status 600", "HTTP/1.1 600 X\r\n" + signed + body},
		{"version 0.9", "HTTP/0.9 200 OK\r\n" + signed + "\r\nwrong"},
		{"version 2.0", "HTTP/2.0 200 OK\r\n" + signed + body},
		{"two blanks", "HTTP/1.1  200 OK\r\n" + signed + body},
		{"control byte in the reason", "HTTP/1.1 200 O\x01K\r\n" + signed + body},
		{"not run, with status 000", "HTTP/1.1 000 X\r\nNot-Executed: 1\r\n" + signed + body},
	}
}

// respondOnce returns a handler that sends a response once, with the ID of the request in place of each
// %[1]s, after a number of whole responses and before further ones.
func respondOnce(text string, wholeBefore int, whole stubHandler) stubHandler {
	answered := 0
	return func(conn net.Conn, r receivedRequest) bool {
		if answered++; answered != wholeBefore+1 {
			return whole(conn, r)
		}
		return respondText(text)(conn, r)
	}
}

// respondText returns a handler that sends a text, with the ID of the request in place of each %[1]s.
func respondText(text string) stubHandler {
	return func(conn net.Conn, r receivedRequest) bool {
		_, err := io.WriteString(conn, strings.ReplaceAll(text, "%[1]s", r.Header.Get("Request-Id")))
		return err == nil
	}
}

// checkRefused checks that a caller gets a failure which claims no more than is known.
func checkRefused(t *testing.T, got callerResponse) {
	t.Helper()
	if diff := cmp.Diff([]any{http.StatusBadGateway, ""}, []any{got.status, got.header.Get("Response-Seal")}); diff != "" {
		t.Errorf("body %q, error %v: %s", got.body, got.err, diff)
	}
}

// checkMalformed checks what callers get for malformed responses, and for the requests that follow.
func checkMalformed(t *testing.T, responses []malformedResponse) {
	for _, r := range responses {
		for path, whole := range map[string]stubHandler{"/place/x": respond(200, eventText(1, 1)), "/draft/x": respondStream(1, 1)} {
			for _, wholeBefore := range []int{0, 1} {
				t.Run(fmt.Sprintf("%s, %s, %d responses before", r.name, path, wholeBefore), func(t *testing.T) {
					t.Parallel()
					u := newStub(t, "u1", respondOnce(r.text, wholeBefore, whole))
					f := newFixture(t, u)
					for range wholeBefore {
						checkWhole(t, f.post(path, "first"))
					}
					checkRefused(t, f.post(path, "p"))
					checkWhole(t, f.post(path, "next"))
					u.mu.Lock()
					defer u.mu.Unlock()
					if diff := cmp.Diff(2, u.accepted); diff != "" {
						t.Errorf("connections, the first of which was used no more: %s", diff)
					}
				})
			}
		}
		for path, whole := range map[string]stubHandler{"/status/x": respond(200, eventText(1, 1)), "/letter/x": respondStream(1, 1)} {
			t.Run(r.name+", "+path, func(t *testing.T) {
				t.Parallel()
				handler := respondOnce(r.text, 0, whole)
				checkWhole(t, newFixture(t, newStub(t, "u1", handler), newStub(t, "u2", handler)).post(path, "p"))
			})
		}
	}
}

// checkWhole checks that a caller gets a whole response of an upstream.
func checkWhole(t *testing.T, got callerResponse) {
	t.Helper()
	if got.status != http.StatusOK || got.err != nil || got.body != eventText(1, 1) || got.header.Get("Response-Seal") == "" {
		t.Errorf("status %d, body %q, error %v, want a whole response", got.status, got.body, got.err)
	}
}

// TestMalformedResponsesAreCounted checks that malformed responses count by their reason.
func TestMalformedResponsesAreCounted(t *testing.T) {
	f := newFixture(t, newStub(t, "u1", respondOnce("HTTP/1.1 000 X\r\n\r\n", 0, respond(200, eventText(1, 1)))))
	checkRefused(t, f.post("/place/x", "p"))
	checkWhole(t, f.post("/place/x", "p"))
	var counters strings.Builder
	f.server.Metrics.set.WritePrometheus(&counters)
	if want := `mulberrydyke_malformed_responses_total{reason="bad-status"} 1`; !strings.Contains(counters.String(), want) {
		t.Errorf("no %s in %s", want, counters.String())
	}
}

// malformedNames are responses with a field whose name is malformed. Some of these say where the body
// ends, so that a parser which does not know them reads another body.
func malformedNames() []malformedResponse {
	const head, body = "HTTP/1.1 200 OK\r\n" + signed, "\r\nwrong"
	const framed = "Content-Length: 5\r\n" + body
	return []malformedResponse{
		{"blank before the colon", head + "X-Note : x\r\n" + framed},
		{"blank in a name", head + "X Note: x\r\n" + framed},
		{"blank before a name", head + " X-Note: x\r\n" + framed},
		{"tab in a name", head + "X\tNote: x\r\n" + framed},
		{"control byte in a name", head + "X\x01Note: x\r\n" + framed},
		{"zero byte in a name", head + "X\x00Note: x\r\n" + framed},
		{"no name", head + ": x\r\n" + framed},
		{"length with a blank before the colon", head + "Content-Length : 2\r\n" + body},
		{"length with a blank before its name", head + " Content-Length: 2\r\n" + body},
		{"two lengths, one with a blank", head + "Content-Length : 2\r\n" + framed},
		{"chunks with a blank before the colon", head + "Transfer-Encoding : chunked\r\n\r\n5\r\nwrong\r\n0\r\n\r\n"},
		{"chunks with a blank in the name", head + "Transfer Encoding: chunked\r\n\r\n5\r\nwrong\r\n0\r\n\r\n"},
		{"ID with a blank before the colon", "HTTP/1.1 200 OK\r\nResponse-Seal: s\r\nRequest-Id : %[1]s\r\n" + framed},
		{"failure", "HTTP/1.1 500 X\r\n" + signed + "X-Note : x\r\n" + framed},
		{"not run", "HTTP/1.1 503 X\r\nNot-Executed: 1\r\n" + signed + "X-Note : x\r\n" + framed},
		{"not run, with a blank before the colon", "HTTP/1.1 503 X\r\nNot-Executed : 1\r\n" + signed + framed},
	}
}

// TestMalformedNameIsNoAnswer guards against responses with the malformed name of a field which callers
// get as an answer, with that field or with a body that is not the upstream's.
func TestMalformedNameIsNoAnswer(t *testing.T) { checkMalformed(t, malformedNames()) }

// malformedFramings are responses that don't say in the way of the standard where the body ends.
func malformedFramings() []malformedResponse {
	const head, chunks = "HTTP/1.1 200 OK\r\n" + signed, "\r\n5\r\nwrong\r\n0\r\n\r\n"
	return []malformedResponse{
		{"chunks in an older version", "HTTP/1.0 200 OK\r\nConnection: keep-alive\r\n" + signed + "Transfer-Encoding: chunked\r\nContent-Length: 15\r\n" + chunks},
		{"length and chunks", head + "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n" + chunks},
		{"chunks and length", head + "Transfer-Encoding: chunked\r\nContent-Length: 15\r\n" + chunks},
		{"two lengths that agree", head + "Content-Length: 5\r\nContent-Length: 5\r\n\r\nwrong"},
		{"two lengths that differ", head + "Content-Length: 5\r\nContent-Length: 2\r\n\r\nwrong"},
		{"length with a sign", head + "Content-Length: +5\r\n\r\nwrong"},
		{"another coding", head + "Transfer-Encoding: gzip, chunked\r\n" + chunks},
		{"content of no content", "HTTP/1.1 204 X\r\n" + signed + "Content-Length: 5\r\n\r\nwrong"},
		{"chunks of no content", "HTTP/1.1 204 X\r\n" + signed + "Transfer-Encoding: chunked\r\n" + chunks},
		{"content of an interim head", "HTTP/1.1 103 Early Hints\r\nContent-Length: 5\r\n\r\n" + head + "Content-Length: 5\r\n\r\nwrong"},
	}
}

// TestMalformedFramingIsNoAnswer guards against responses that contradict themselves, or say in no known
// way where they end, and that callers get with another body or as they are.
func TestMalformedFramingIsNoAnswer(t *testing.T) { checkMalformed(t, malformedFramings()) }

// unclearOwners are responses that don't say plainly whose they are.
func unclearOwners() []malformedResponse {
	const head, body = "HTTP/1.1 200 OK\r\n" + signed, "Content-Length: 5\r\n\r\nwrong"
	return []malformedResponse{
		{"ID of another request after its own", head + "Request-Id: other\r\n" + body},
		{"ID twice", head + "Request-Id: %[1]s\r\n" + body},
		{"ID twice, in other letters", head + "request-id: %[1]s\r\n" + body},
		{"two signatures", head + "Response-Seal: t\r\n" + body},
		{"two upstreams", head + "Instance-Id: u1\r\nInstance-Id: u9\r\n" + body},
		{"failure with two IDs", "HTTP/1.1 500 X\r\n" + signed + "Request-Id: other\r\n" + body},
		{"not run, with two IDs", "HTTP/1.1 503 X\r\nNot-Executed: 1\r\n" + signed + "Request-Id: other\r\n" + body},
	}
}

// TestResponseOfUnclearOwnerIsNoAnswer guards against responses that name two requests, or bear two
// signatures, and that callers get as the answer to theirs.
func TestResponseOfUnclearOwnerIsNoAnswer(t *testing.T) { checkMalformed(t, unclearOwners()) }

// TestUnusualSoundResponsesGoOn guards against a check that refuses what the standard allows.
func TestUnusualSoundResponsesGoOn(t *testing.T) {
	const body = "Content-Length: 5\r\n\r\nright"
	for _, c := range []struct {
		text, body string
		status     int
	}{
		{"HTTP/1.1 200\r\n" + signed + body, "right", 200},
		{"HTTP/1.0 200 OK\r\n" + signed + body, "right", 200},
		{"HTTP/1.1 200 OK\n" + strings.ReplaceAll(signed+body, "\r", ""), "right", 200},
		{"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\n" + signed + body, "right", 200},
		{strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 30) + "HTTP/1.1 200 OK\r\n" + signed + body, "right", 200},
		{"HTTP/1.1 200 OK\r\n" + signed + "transfer-encoding:Chunked\r\n\r\n5;a=b\r\nright\r\n0\r\nX-Note: x\r\n\r\n", "right", 200},
		{"HTTP/1.1 201 X\r\n" + signed + body, "right", 201},
		{"HTTP/1.1 204 X\r\n" + signed + "Content-Length: 0\r\n\r\n", "", 204},
		{"HTTP/1.1 299 X\r\n" + signed + body, "right", 299},
		{"HTTP/1.1 304 X\r\n" + signed + "Content-Length: 5\r\n\r\n", "", 304},
		{"HTTP/1.1 302 X\r\n" + signed + body, "right", 302},
		{"HTTP/1.1 404 X\r\n" + signed + body, "right", 404},
		{"HTTP/1.1 418 \r\n" + signed + body, "right", 418},
		{"HTTP/1.1 500 X\r\n" + signed + body, "right", 500},
		{"HTTP/1.1 599 X\r\n" + signed + body, "right", 599},
	} {
		f := newFixture(t, newStub(t, "u1", respondOnce(c.text, 0, closeConn)))
		got := f.post("/place/x", "p")
		if diff := cmp.Diff([]any{c.status, c.body, "s", true}, []any{got.status, got.body, got.header.Get("Response-Seal"), got.err == nil}); diff != "" {
			t.Errorf("%q: %s", c.text, diff)
		}
	}
}

// TestMalformedStatusIsNoAnswer guards against responses with a status that doesn't exist which callers
// get as an answer, or whose body they get as one.
func TestMalformedStatusIsNoAnswer(t *testing.T) { checkMalformed(t, malformedStatuses()) }
