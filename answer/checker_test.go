package answer_test

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
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
	// frame returns the fields that say where a body ends, the empty line and the body. It is nil for a
	// Content-Length.
	frame func(body string) string
}

// statusLineCases are heads whose status lines differ. What is harmless says the same to every parser.
var statusLineCases = []headCase{
	{"sound", "HTTP/1.1 200 OK", "", nil},
	{"sound, without a reason", "HTTP/1.1 200 ", "", nil},
	{"sound, older version", "HTTP/1.0 200 OK", "", nil},
	{"sound, class without a name for its status", "HTTP/1.1 299 X", "", nil},
	{"sound, last status", "HTTP/1.1 599 X", "", nil},
	{"sound, reason with bytes of UTF-8", "HTTP/1.1 200 d'accordé", "", nil},
	{"harmless: no blank after the status", "HTTP/1.1 200", "", nil},
	{"harmless: later minor version", "HTTP/1.2 200 OK", "", nil},
	{"status 000", "HTTP/1.1 000 X", answer.BadStatus, nil},
	{"status 001", "HTTP/1.1 001 X", answer.BadStatus, nil},
	{"status 099", "HTTP/1.1 099 X", answer.BadStatus, nil},
	{"status 600", "HTTP/1.1 600 X", answer.BadStatus, nil},
	{"status 999", "HTTP/1.1 999 X", answer.BadStatus, nil},
	{"sign in place of a digit", "HTTP/1.1 +20 X", answer.BadStatus, nil},
	{"sign in place of a digit, and a zero", "HTTP/1.1 -00 X", answer.BadStatus, nil},
	{"letters for a status", "HTTP/1.1 OKs X", answer.BadStatus, nil},
	{"two digits", "HTTP/1.1 20 OK", answer.BadStatus, nil},
	{"four digits", "HTTP/1.1 2000 OK", answer.BadStatus, nil},
	{"no status", "HTTP/1.1 ", answer.BadStatus, nil},
	{"nothing after the version", "HTTP/1.1", answer.BadStatus, nil},
	{"two blanks before the status", "HTTP/1.1  200 OK", answer.BadStatus, nil},
	{"tab before the status", "HTTP/1.1\t200 OK", answer.BadVersion, nil},
	{"tab after the status", "HTTP/1.1 200\tOK", answer.BadStatus, nil},
	{"version 0.9", "HTTP/0.9 200 OK", answer.BadVersion, nil},
	{"version 2.0", "HTTP/2.0 200 OK", answer.BadVersion, nil},
	{"version without a minor one", "HTTP/1 200 OK", answer.BadVersion, nil},
	{"version with two digits", "HTTP/1.10 200 OK", answer.BadVersion, nil},
	{"version in small letters", "http/1.1 200 OK", answer.BadVersion, nil},
	{"another protocol", "ICY/1.1 200 OK", answer.BadVersion, nil},
	{"blank before the version", " HTTP/1.1 200 OK", answer.BadVersion, nil},
	{"empty line", "", answer.BadVersion, nil},
	{"text", "the server is in trouble", answer.BadVersion, nil},
	{"control byte in the reason", "HTTP/1.1 200 O\x00K", answer.BadStatusLine, nil},
	{"return in the reason", "HTTP/1.1 200 OK\rX", answer.BadStatusLine, nil},
	{"sound after interim heads", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 199 X\r\nA: b\r\n\r\nHTTP/1.1 200 OK", "", nil},
	{"status 000 after an interim head", "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 000 X", answer.BadStatus, nil},
	{"another protocol that nobody asked for", "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade", answer.ProtocolSwitch, nil},
}

// ok is a sound status line.
const ok = "HTTP/1.1 200 OK\r\n"

// fieldCases are heads whose fields differ.
var fieldCases = []headCase{
	{"sound, with all bytes of a token", ok + "!#$%&'*+-.^_`|~09azAZ: x", "", nil},
	{"sound, without a value", ok + "X-A:", "", nil},
	{"sound, with blanks and tabs around the value", ok + "X-A: \t x \t ", "", nil},
	{"sound, value with a colon", ok + "X-A: b: c", "", nil},
	{"sound, value with bytes of UTF-8", ok + "X-A: \u00e9", "", nil},
	{"harmless: lines end without a return", "HTTP/1.1 200 OK\nX-A: b", "", nil},
	{"blank before the colon", ok + "X-A : b", answer.BadFieldName, nil},
	{"tab before the colon", ok + "X-A\t: b", answer.BadFieldName, nil},
	{"blank in a name", ok + "X A: b", answer.BadFieldName, nil},
	{"tab in a name", ok + "X\tA: b", answer.BadFieldName, nil},
	{"blank before a name", ok + "X-A: b\r\n X-B: c", answer.FoldedLine, nil},
	{"blank before the first name", ok + " X-A: b", answer.FoldedLine, nil},
	{"tab before a name", ok + "X-A: b\r\n\tX-B: c", answer.FoldedLine, nil},
	{"value that goes on in the next line", ok + "X-A: b\r\n c", answer.FoldedLine, nil},
	{"line of a blank", ok + "X-A: b\r\n \r\nX-B: c", answer.FoldedLine, nil},
	{"no name", ok + ": b", answer.BadFieldName, nil},
	{"no colon", ok + "X-A b", answer.BadFieldName, nil},
	{"zero byte in a name", ok + "X\x00A: b", answer.BadFieldName, nil},
	{"control byte in a name", ok + "X\x1fA: b", answer.BadFieldName, nil},
	{"delete in a name", ok + "X\x7fA: b", answer.BadFieldName, nil},
	{"return in a name", ok + "X\rA: b", answer.BadFieldName, nil},
	{"separator in a name", ok + "X(A): b", answer.BadFieldName, nil},
	{"quoted name", ok + "\"X-A\": b", answer.BadFieldName, nil},
	{"byte above ASCII in a name", ok + "X-\u00e9: b", answer.BadFieldName, nil},
	{"zero byte in a value", ok + "X-A: b\x00c", answer.BadFieldValue, nil},
	{"return in a value", ok + "X-A: b\rContent-Length: 1", answer.BadFieldValue, nil},
	{"return after a value", ok + "X-A: b\r\r\nX-B: c", answer.BadFieldValue, nil},
	{"blank before the colon in an interim head", "HTTP/1.1 103 Early Hints\r\nX-A : b\r\n\r\nHTTP/1.1 200 OK", answer.BadFieldName, nil},
	{"length with a blank before the colon", ok + "Content-Length : 2", answer.BadFieldName, nil},
	{"length with a blank in its name", ok + "Content Length: 2", answer.BadFieldName, nil},
	{"length with a blank before its name", ok + "X-A: b\r\n Content-Length: 2", answer.FoldedLine, nil},
	{"chunks with a blank before the colon", ok + "Transfer-Encoding : chunked", answer.BadFieldName, nil},
}

// plain returns a function that puts fields before a body, with its length in place of a %d.
func plain(fields string) func(string) string {
	return func(body string) string {
		return strings.ReplaceAll(fields, "%d", strconv.Itoa(len(body))) + "\r\n\r\n" + body
	}
}

// chunked returns a function that puts fields before a body in one chunk, with the length of the body in
// place of a %d. After follows the last chunk.
func chunked(fields, extension, after string) func(string) string {
	return func(body string) string {
		return plain(fields)("") + fmt.Sprintf("%x%s\r\n%s\r\n0\r\n%s\r\n", len(body), extension, body, after)
	}
}

// framingCases are heads that say in different ways where the body ends.
var framingCases = []headCase{
	{"sound, no length", ok, "", plain("X-A: b")},
	{"sound, no length in an older version", "HTTP/1.0 200 OK\r\n", "", plain("X-A: b")},
	{"sound, length in an older version", "HTTP/1.0 200 OK\r\n", "", plain("Content-Length: %d")},
	{"sound, length with zeros in front", ok, "", plain("Content-Length: 00%d")},
	{"sound, length with blanks around it", ok, "", plain("Content-Length:\t %d \t")},
	{"sound, length in small letters", ok, "", plain("content-length:%d")},
	{"sound, chunks", ok, "", chunked("Transfer-Encoding: chunked", "", "")},
	{"sound, chunks in other letters", ok, "", chunked("transfer-encoding:CHUNKED", "", "")},
	{"sound, chunks with an extension", ok, "", chunked("Transfer-Encoding: chunked", ";a=b", "")},
	{"sound, chunks and a trailer", ok, "", chunked("Transfer-Encoding: chunked\r\nTrailer: X-A", "", "X-A: b\r\n")},
	{"harmless: name in a trailer, which is not read, with a blank", ok, "", chunked("Transfer-Encoding: chunked", "", "X-A : b\r\n")},
	{"sound, no content", "HTTP/1.1 204 X\r\n", "", plain("X-A: b")},
	{"harmless: length of no content", "HTTP/1.1 204 X\r\n", "", plain("Content-Length: 0")},
	{"harmless: length of no content in an interim head", "HTTP/1.1 100 Continue\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\n", "", plain("Content-Length: %d")},
	{"sound, length of content that was not modified", "HTTP/1.1 304 X\r\n", "", plain("Content-Length: %d")},
	{"sound, chunks of content that was not modified", "HTTP/1.1 304 X\r\n", "", plain("Transfer-Encoding: chunked")},
	{"length with a sign", ok, answer.BadLength, plain("Content-Length: +%d")},
	{"negative length", ok, answer.BadLength, plain("Content-Length: -%d")},
	{"length in hexadecimal digits", ok, answer.BadLength, plain("Content-Length: 0x%d")},
	{"length with a stop", ok, answer.BadLength, plain("Content-Length: %d.0")},
	{"length with an underscore", ok, answer.BadLength, plain("Content-Length: 0_%d")},
	{"length with a blank in it", ok, answer.BadLength, plain("Content-Length: 0 %d")},
	{"length in words", ok, answer.BadLength, plain("Content-Length: five")},
	{"empty length", ok, answer.BadLength, plain("Content-Length:")},
	{"length above 64 bits", ok, answer.BadLength, plain("Content-Length: 18446744073709551616%d")},
	{"list of lengths that agree", ok, answer.BadLength, plain("Content-Length: %d, %d")},
	{"two lengths that agree", ok, answer.RepeatedField, plain("Content-Length: %d\r\nContent-Length: %d")},
	{"two lengths that differ", ok, answer.RepeatedField, plain("Content-Length: %d\r\nContent-Length: 1")},
	{"length and chunks", ok, answer.LengthAndCoding, chunked("Content-Length: 1\r\nTransfer-Encoding: chunked", "", "")},
	{"chunks and length", ok, answer.LengthAndCoding, chunked("Transfer-Encoding: chunked\r\nContent-Length: 1", "", "")},
	{"chunks in an older version", "HTTP/1.0 200 OK\r\n", answer.BadCoding, chunked("Transfer-Encoding: chunked", "", "")},
	{"chunks and length in an older version", "HTTP/1.0 200 OK\r\n", answer.BadCoding, plain("Transfer-Encoding: chunked\r\nContent-Length: %d")},
	{"chunks twice in one field", ok, answer.BadCoding, chunked("Transfer-Encoding: chunked, chunked", "", "")},
	{"chunks in two fields", ok, answer.RepeatedField, chunked("Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked", "", "")},
	{"another coding", ok, answer.BadCoding, plain("Transfer-Encoding: gzip")},
	{"another coding in chunks", ok, answer.BadCoding, chunked("Transfer-Encoding: gzip, chunked", "", "")},
	{"no coding by name", ok, answer.BadCoding, plain("Transfer-Encoding: identity")},
	{"empty coding", ok, answer.BadCoding, plain("Transfer-Encoding:")},
	{"coding with a parameter", ok, answer.BadCoding, chunked("Transfer-Encoding: chunked;a=b", "", "")},
	{"coding with a form feed", ok, answer.BadFieldValue, chunked("Transfer-Encoding: \x0cchunked", "", "")},
	{"content of no content", "HTTP/1.1 204 X\r\n", answer.UnexpectedContent, plain("Content-Length: %d")},
	{"chunks of no content", "HTTP/1.1 204 X\r\n", answer.UnexpectedContent, chunked("Transfer-Encoding: chunked", "", "")},
	{"content of an interim head", "HTTP/1.1 100 Continue\r\nContent-Length: 5\r\n\r\nHTTP/1.1 200 OK\r\n", answer.UnexpectedContent, plain("Content-Length: %d")},
	{"chunks of an interim head", "HTTP/1.1 100 Continue\r\nTransfer-Encoding: chunked\r\n\r\nHTTP/1.1 200 OK\r\n", answer.UnexpectedContent, plain("Content-Length: %d")},
}

// headCases returns all cases.
func headCases() []headCase { return slices.Concat(statusLineCases, fieldCases, framingCases) }

// TestHeads checks which heads are refused, and that a parser believes none of these, however their bytes
// arrive.
func TestHeads(t *testing.T) {
	for _, c := range headCases() {
		t.Run(c.name, func(t *testing.T) {
			text := c.response("", "HTTP/1.1 000 is content here")
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
		var malformed *answer.MalformedError
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
	var malformed *answer.MalformedError
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
	if err := r.Expect("GET", nil); err != nil {
		t.Fatal(err)
	}
	_, err := io.ReadAll(r)
	var malformed *answer.MalformedError
	if !errors.As(err, &malformed) || malformed.Reason != answer.BadStatus {
		t.Errorf("error %v", err)
	}
	if err := r.Expect("GET", nil); !errors.As(err, &malformed) {
		t.Errorf("a connection with a malformed response is used again: %v", err)
	}
}

// TestExpectChecksWhatIsBuffered checks that the part of a head which a buffer has already read is checked.
func TestExpectChecksWhatIsBuffered(t *testing.T) {
	r := answer.NewReader(strings.NewReader("00 X\r\n"))
	if err := r.Expect("GET", []byte("HTTP/1.1 0")); err != nil {
		t.Fatal(err)
	}
	if raw, err := io.ReadAll(r); err == nil {
		t.Errorf("%q was believed", raw)
	}
	if err := answer.NewReader(strings.NewReader("")).Expect("GET", []byte("HTTP/1.1 000 X\r\n")); err == nil {
		t.Error("a head in the buffer was believed")
	}
}

// TestReaderEndsWithTheResponse checks that a reader which follows bodies ends exactly where each does, and
// that bytes after it are refused, however all arrive.
func TestReaderEndsWithTheResponse(t *testing.T) {
	for _, c := range framingCases {
		body := strings.Repeat("a line\r\n0\r\n\r\n", 30)
		if strings.Contains(c.head, " 204 ") || strings.Contains(c.head, " 304 ") {
			body = ""
		}
		whole := c.response("", body)
		if c.want != "" || strings.HasSuffix(whole, "X-A: b\r\n\r\n"+body) && body != "" {
			continue // refused, or without an end
		}
		t.Run(c.name, func(t *testing.T) {
			text := whole + "HTTP/1.1 200 OK\r\n\r\n"
			for arrival, source := range map[string]io.Reader{
				"at once":   strings.NewReader(text),
				"in bytes":  iotest.OneByteReader(strings.NewReader(text)),
				"in halves": iotest.HalfReader(strings.NewReader(text)),
			} {
				r := answer.NewReader(source, answer.WithBodies())
				got, err := io.ReadAll(r)
				var malformed *answer.MalformedError
				if !errors.As(err, &malformed) || malformed.Reason != answer.BytesAfterEnd {
					t.Errorf("%s: error %v", arrival, err)
				}
				if diff := cmp.Diff(whole, string(got)); diff != "" {
					t.Errorf("%s: %s", arrival, diff)
				}
			}
		})
	}
}

// TestMalformedChunksAreRefused checks that a reader which follows bodies refuses sizes that are none.
func TestMalformedChunksAreRefused(t *testing.T) {
	for _, size := range []string{"", "x", "-1", "+5", "0x5", "5 5", " 5", "7fffffffffffffff", "10000000000000000"} {
		text := ok + "Transfer-Encoding: chunked\r\n\r\n" + size + "\r\nright\r\n0\r\n\r\n"
		_, err := io.ReadAll(answer.NewReader(strings.NewReader(text), answer.WithBodies()))
		var malformed *answer.MalformedError
		if !errors.As(err, &malformed) || malformed.Reason != answer.BadChunkSize {
			t.Errorf("size %q: error %v", size, err)
		}
	}
}

// FuzzHeads checks with any bytes that it makes no difference how they arrive, and that a head which is
// believed says no more than the standard allows.
func FuzzHeads(f *testing.F) {
	for _, c := range headCases() {
		f.Add([]byte(c.response("X-A: b\r\n", "body")))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		verdict := checkAll(answer.NewReader(bytes.NewReader(raw)))
		if diff := cmp.Diff(verdict, checkAll(answer.NewReader(iotest.OneByteReader(bytes.NewReader(raw))))); diff != "" {
			t.Errorf("at once and in bytes: %s", diff)
		}
		response, err := http.ReadResponse(bufio.NewReader(answer.NewReader(bytes.NewReader(raw))), nil)
		if err != nil {
			return
		}
		if response.StatusCode < 100 || response.StatusCode > 599 || response.ProtoMajor != 1 {
			t.Errorf("believed %s %s", response.Proto, response.Status)
		}
		for name := range response.Header {
			if strings.ContainsAny(name, " \t\x00\r") || name == "" {
				t.Errorf("believed the name %q", name)
			}
		}
	})
}

// checkAll reads to the end and returns the reason for which it fails, or an empty one.
func checkAll(r *answer.Reader) answer.Reason {
	_, _ = io.Copy(io.Discard, r)
	var malformed *answer.MalformedError
	if errors.As(r.Err(), &malformed) {
		return malformed.Reason
	}
	return ""
}
