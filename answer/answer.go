// Package answer checks HTTP/1 responses before a parser believes them.
//
// net/http accepts heads that RFC 9110 and RFC 9112 don't allow. What it makes of some of them is not
// what the server sent: a status that doesn't exist, or a body that is a part of something else. A
// Reader stands between a connection and the parser, and fails at the first line that is malformed. For
// a parser that lets the next request over a connection have what follows a response, it fails there too.
package answer

import (
	"fmt"
	"net/http"
)

// Reason tells why a response is refused.
type Reason string

// Reasons to refuse a response.
const (
	// BadVersion means that the version is not one of HTTP/1.
	BadVersion Reason = "bad-version"
	// BadStatus means that the status is not three digits, or of no known class.
	BadStatus Reason = "bad-status"
	// BadStatusLine means that the status line has another form.
	BadStatusLine Reason = "bad-status-line"
	// BadFieldName means that the name of a field is not a token, or that a line has none.
	BadFieldName Reason = "bad-field-name"
	// BadFieldValue means that the value of a field has control bytes.
	BadFieldValue Reason = "bad-field-value"
	// FoldedLine means that a line begins with a blank. It is the name of a field after a blank, or goes
	// on with the value of the one before.
	FoldedLine Reason = "folded-line"
	// BadLength means that a Content-Length is not a number of bytes.
	BadLength Reason = "bad-length"
	// BadCoding means that a Transfer-Encoding is not "chunked", or that an older version has one, which
	// knows none.
	BadCoding Reason = "bad-coding"
	// RepeatedField means that a field comes more than once which may come once.
	RepeatedField Reason = "repeated-field"
	// LengthAndCoding means that a head has both a Content-Length and a Transfer-Encoding.
	LengthAndCoding Reason = "length-and-coding"
	// UnexpectedContent means that a head declares content, and has a status that never has any.
	UnexpectedContent Reason = "unexpected-content"
	// BadChunkSize means that the size of a chunk is not a hexadecimal number.
	BadChunkSize Reason = "bad-chunk-size"
	// BytesAfterEnd means that bytes follow a whole response, which no request waits for.
	BytesAfterEnd Reason = "bytes-after-end"
	// ProtocolSwitch means that the server turns to another protocol, which no request asks for.
	ProtocolSwitch Reason = "protocol-switch"
)

// CheckOnce returns a *MalformedError if one of the named fields, such as those that say whose response it
// is, comes more than once in a parsed head. Names are in canonical form.
func CheckOnce(h http.Header, names ...string) error {
	for _, name := range names {
		if len(h[name]) > 1 {
			return newError(RepeatedField, []byte(name))
		}
	}
	return nil
}

// MalformedError reports a response that the standard doesn't allow. The request may have run.
type MalformedError struct {
	Reason Reason
	// Line is the beginning of the line that is malformed, at most maxQuotedBytes long.
	Line string
}

// maxQuotedBytes limits what an error quotes of a response.
const maxQuotedBytes = 64

func newError(reason Reason, line []byte) *MalformedError {
	return &MalformedError{Reason: reason, Line: string(line[:min(len(line), maxQuotedBytes)])}
}

func (e *MalformedError) Error() string {
	return fmt.Sprintf("malformed response: %s: %q", e.Reason, e.Line)
}
