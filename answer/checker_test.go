package answer_test

import (
	"bufio"
	"errors"
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/google/go-cmp/cmp"

	"mulberrydyke/answer"
)

// headCase is the head of a response, without its empty line, and why it is refused.
type headCase struct {
	name, head string
	// want is empty for a head that is sound, or harmless in the words of its name.
	want answer.Reason
}

// statusLineCases are heads whose status lines differ. What is harmless says the same to every parser.
var statusLineCases = []headCase{
	{"sound", "HTTP/1.1 200 OK", ""},
	{"sound, without a reason", "HTTP/1.1 200 ", ""},
	{"sound, older version", "HTTP/1.0 200 OK", ""},
	{"sound, class without a name for its status", "HTTP/1.1 299 X", ""},
	{"sound, last status", "HTTP/1.1 599 X", ""},
	{"sound, reason with bytes of UTF-8", "HTTP/1.1 200 d'accordé", ""},
	{"harmless: no blank after the status", "HTTP/1.1 200", ""},
	{"harmless: later minor version", "HTTP/1.2 200 OK", ""},
	{"status 000", "HTTP/1.1 000 X", answer.BadStatus},
	{"status 001", "HTTP/1.1 001 X", answer.BadStatus},
	{"status 099", "HTTP/1.1 099 X", answer.BadStatus},
	{"status 600", "HTTP/1.1 600 X", answer.BadStatus},
	{"status 999", "HTTP/1.1 999 X", answer.BadStatus},
	{"sign in place of a digit", "HTTP/1.1 +20 X", answer.BadStatus},
	{"sign in place of a digit, and a zero", "HTTP/1.1 -00 X", answer.BadStatus},
	{"letters for a status", "HTTP/1.1 OKs X", answer.BadStatus},
	{"two digits", "HTTP/1.1 20 OK", answer.BadStatus},
	{"four digits", "HTTP/1.1 2000 OK", answer.BadStatus},
	{"no status", "HTTP/1.1 ", answer.BadStatus},
	{"nothing after the version", "HTTP/1.1", answer.BadStatus},
	{"two blanks before the status", "HTTP/1.1  200 OK", answer.BadStatus},
	{"tab before the status", "HTTP/1.1\t200 OK", answer.BadVersion},
	{"tab after the status", "HTTP/1.1 200\tOK", answer.BadStatus},
	{"version 0.9", "HTTP/0.9 200 OK", answer.BadVersion},
	{"version 2.0", "HTTP/2.0 200 OK", answer.BadVersion},
	{"version without a minor one", "HTTP/1 200 OK", answer.BadVersion},
	{"version with two digits", "HTTP/1.10 200 OK", answer.BadVersion},
	{"version in small letters", "http/1.1 200 OK", answer.BadVersion},
	{"another protocol", "ICY/1.1 200 OK", answer.BadVersion},
	{"blank before the version", " HTTP/1.1 200 OK", answer.BadVersion},
	{"empty line", "", answer.BadVersion},
	{"text", "the server is in trouble", answer.BadVersion},
	{"control byte in the reason", "HTTP/1.1 200 O\x00K", answer.BadStatusLine},
	{"return in the reason", "HTTP/1.1 200 OK\rX", answer.BadStatusLine},
	{"sound after interim heads", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 199 X\r\nA: b\r\n\r\nHTTP/1.1 200 OK", ""},
	{"status 000 after an interim head", "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 000 X", answer.BadStatus},
	{"another protocol that nobody asked for", "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade", answer.ProtocolSwitch},
}

// ok is a sound status line.
const ok = "HTTP/1.1 200 OK\r\n"

// fieldCases are heads whose fields differ.
var fieldCases = []headCase{
	{"sound, with all bytes of a token", ok + "!#$%&'*+-.^_`|~09azAZ: x", ""},
	{"sound, without a value", ok + "X-A:", ""},
	{"sound, with blanks and tabs around the value", ok + "X-A: \t x \t ", ""},
	{"sound, value with a colon", ok + "X-A: b: c", ""},
	{"sound, value with bytes of UTF-8", ok + "X-A: \u00e9", ""},
	{"harmless: lines end without a return", "HTTP/1.1 200 OK\nX-A: b", ""},
	{"blank before the colon", ok + "X-A : b", answer.BadFieldName},
	{"tab before the colon", ok + "X-A\t: b", answer.BadFieldName},
	{"blank in a name", ok + "X A: b", answer.BadFieldName},
	{"tab in a name", ok + "X\tA: b", answer.BadFieldName},
	{"blank before a name", ok + "X-A: b\r\n X-B: c", answer.FoldedLine},
	{"blank before the first name", ok + " X-A: b", answer.FoldedLine},
	{"tab before a name", ok + "X-A: b\r\n\tX-B: c", answer.FoldedLine},
	{"value that goes on in the next line", ok + "X-A: b\r\n c", answer.FoldedLine},
	{"line of a blank", ok + "X-A: b\r\n \r\nX-B: c", answer.FoldedLine},
	{"no name", ok + ": b", answer.BadFieldName},
	{"no colon", ok + "X-A b", answer.BadFieldName},
	{"zero byte in a name", ok + "X\x00A: b", answer.BadFieldName},
	{"control byte in a name", ok + "X\x1fA: b", answer.BadFieldName},
	{"delete in a name", ok + "X\x7fA: b", answer.BadFieldName},
	{"return in a name", ok + "X\rA: b", answer.BadFieldName},
	{"separator in a name", ok + "X(A): b", answer.BadFieldName},
	{"quoted name", ok + "\"X-A\": b", answer.BadFieldName},
	{"byte above ASCII in a name", ok + "X-\u00e9: b", answer.BadFieldName},
	{"zero byte in a value", ok + "X-A: b\x00c", answer.BadFieldValue},
	{"return in a value", ok + "X-A: b\rContent-Length: 1", answer.BadFieldValue},
	{"return after a value", ok + "X-A: b\r\r\nX-B: c", answer.BadFieldValue},
	{"blank before the colon in an interim head", "HTTP/1.1 103 Early Hints\r\nX-A : b\r\n\r\nHTTP/1.1 200 OK", answer.BadFieldName},
	{"length with a blank before the colon", ok + "Content-Length : 2", answer.BadFieldName},
	{"length with a blank in its name", ok + "Content Length: 2", answer.BadFieldName},
	{"length with a blank before its name", ok + "X-A: b\r\n Content-Length: 2", answer.FoldedLine},
	{"chunks with a blank before the colon", ok + "Transfer-Encoding : chunked", answer.BadFieldName},
}

// headCases returns all cases.
func headCases() []headCase { return slices.Concat(statusLineCases, fieldCases) }

// TestHeads checks which heads are refused, and that a parser believes none of these, however their bytes
// arrive.
func TestHeads(t *testing.T) {
	for _, c := range headCases() {
		t.Run(c.name, func(t *testing.T) {
			text := c.head + "\r\n\r\nHTTP/1.1 000 is content here"
			for arrival, source := range map[string]io.Reader{
				"at once":      strings.NewReader(text),
				"in bytes":     iotest.OneByteReader(strings.NewReader(text)),
				"in halves":    iotest.HalfReader(strings.NewReader(text)),
				"with the end": iotest.DataErrReader(strings.NewReader(text)),
			} {
				if diff := cmp.Diff(c.want, readHeads(answer.NewReader(source))); diff != "" {
					t.Errorf("%s: %s", arrival, diff)
				}
			}
		})
	}
}

// readHeads reads heads up to the final one and returns why one is refused, or an empty reason. A head
// that only the parser refuses has the reason of its error.
func readHeads(r *answer.Reader) answer.Reason {
	buffered := bufio.NewReader(r)
	for {
		response, err := http.ReadResponse(buffered, nil)
		var malformed *answer.HeadError
		switch {
		case errors.As(r.Err(), &malformed):
			if err == nil && response.StatusCode >= http.StatusOK {
				return "a final head was believed"
			}
			return malformed.Reason
		case err != nil:
			return answer.Reason(err.Error())
		case response.StatusCode >= http.StatusOK:
			return ""
		}
	}
}

// TestErrorsQuoteLittle checks that an error, which is logged, quotes no more than the beginning of a line.
func TestErrorsQuoteLittle(t *testing.T) {
	r := answer.NewReader(strings.NewReader("HTTP/1.1 000 " + strings.Repeat("x", 1<<20) + "\r\n\r\n"))
	_, err := io.ReadAll(r)
	var malformed *answer.HeadError
	if !errors.As(err, &malformed) || len(malformed.Line) > 100 {
		t.Errorf("error %.200v", err)
	}
}

// TestExpectChecksEachResponse checks that the head of each response is checked, and no content before it.
func TestExpectChecksEachResponse(t *testing.T) {
	const first = "HTTP/1.1 200 OK\r\n\r\nHTTP/1.1 000 is content here\r\n"
	r := answer.NewReader(io.MultiReader(strings.NewReader(first), strings.NewReader("HTTP/1.1 000 X\r\n")))
	if _, err := io.ReadFull(r, make([]byte, len(first))); err != nil {
		t.Fatal(err)
	}
	if err := r.Expect(nil); err != nil {
		t.Fatal(err)
	}
	_, err := io.ReadAll(r)
	var malformed *answer.HeadError
	if !errors.As(err, &malformed) || malformed.Reason != answer.BadStatus {
		t.Errorf("error %v", err)
	}
	if err := r.Expect(nil); !errors.As(err, &malformed) {
		t.Errorf("a connection with a malformed response is used again: %v", err)
	}
}

// TestExpectChecksWhatIsBuffered checks that the part of a head which a buffer has already read is checked.
func TestExpectChecksWhatIsBuffered(t *testing.T) {
	r := answer.NewReader(strings.NewReader("00 X\r\n"))
	if err := r.Expect([]byte("HTTP/1.1 0")); err != nil {
		t.Fatal(err)
	}
	if raw, err := io.ReadAll(r); err == nil {
		t.Errorf("%q was believed", raw)
	}
	if err := answer.NewReader(strings.NewReader("")).Expect([]byte("HTTP/1.1 000 X\r\n")); err == nil {
		t.Error("a head in the buffer was believed")
	}
}
