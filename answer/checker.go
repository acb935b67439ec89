package answer

import (
	"bytes"
	"net/http"
	"strconv"
)

// section is a part of a response.
type section int

const (
	// statusLine is the first line of a head, of the final one or of an interim one before it.
	statusLine section = iota
	// fields are the lines after it, up to the empty one.
	fields
	// content is all that follows the final head: the body, and what comes after it.
	content
)

// Checker checks the response to one request as its bytes arrive: the heads of any number of interim ones,
// that of the final one, and where its body ends. The zero value is ready to use and checks no bodies.
type Checker struct {
	section section
	lines   lines
	// head is what the head that is being read has said so far, or what the final one has said.
	head head
	// body is checked in the content if checksBody is set.
	body       body
	checksBody bool
	// method is that of the request.
	method string
}

// head is what a head says of its response.
type head struct {
	// status is one of a class that exists.
	status int
	// minor is the minor version of HTTP/1, as a digit.
	minor byte
	// hasLength and hasCoding are set if there is a Content-Length or a Transfer-Encoding.
	hasLength, hasCoding bool
	// length is the Content-Length in bytes, 0 or more.
	length int64
}

// Check checks the next bytes of a response. It returns how many of them a parser may have. These are
// all, unless it fails with a *MalformedError; then they end before the end of the line that is malformed,
// or with the body.
func (c *Checker) Check(p []byte) (int, error) {
	checked := 0
	for checked < len(p) {
		if c.section == content {
			n, err := c.body.check(p[checked:])
			return checked + n, err
		}
		first := c.section == statusLine && c.lines.atStart()
		line, n, whole := c.lines.next(p[checked:])
		if !whole {
			break
		}
		if err := c.checkLine(line); err != nil {
			if first && checked == 0 {
				// A client of net/http may send a request again if it can't read the first byte.
				checked = 1
			}
			return checked, err
		}
		checked += n
	}
	return len(p), nil
}

// checkLine checks a line of a head.
func (c *Checker) checkLine(line []byte) error {
	switch {
	case c.section == statusLine:
		c.section = fields
		return c.checkStatusLine(line)
	case len(line) == 0:
		return c.endHead()
	}
	return c.checkField(line)
}

// checkStatusLine checks the first line of a head: the version, the status, and a reason or none. A
// minor version above 1 counts as 1, as RFC 9110 says.
func (c *Checker) checkStatusLine(line []byte) error {
	version, rest, _ := bytes.Cut(line, []byte(" "))
	status, reason, _ := bytes.Cut(rest, []byte(" "))
	switch {
	case !isVersion(version):
		return newError(BadVersion, line)
	case !isStatus(status):
		return newError(BadStatus, line)
	case !isText(reason):
		return newError(BadStatusLine, line)
	}
	c.head = head{status: int(status[0]-'0')*100 + int(status[1]-'0')*10 + int(status[2]-'0'), minor: version[len(version)-1]}
	return nil
}

// isVersion reports whether a version is one of HTTP/1.
func isVersion(version []byte) bool {
	minor, ok := bytes.CutPrefix(version, []byte("HTTP/1."))
	return ok && len(minor) == 1 && isDigit(minor[0])
}

// isStatus reports whether a status has three digits, of which the first names a class that exists.
func isStatus(status []byte) bool {
	return len(status) == 3 && status[0] >= '1' && status[0] <= '5' && isDigit(status[1]) && isDigit(status[2])
}

func isDigit(b byte) bool { return b >= '0' && b <= '9' }

// isText reports whether a text has no control bytes but tabs.
func isText(text []byte) bool {
	for _, b := range text {
		if b < ' ' && b != '\t' || b == 0x7f {
			return false
		}
	}
	return true
}

// checkField checks a line with a field.
func (c *Checker) checkField(line []byte) error {
	name, value, named := bytes.Cut(line, []byte(":"))
	switch {
	case line[0] == ' ' || line[0] == '\t':
		return newError(FoldedLine, line)
	case !named || !isToken(name):
		return newError(BadFieldName, line)
	case !isText(value):
		return newError(BadFieldValue, line)
	}
	if reason := c.head.update(name, bytes.Trim(value, " \t")); reason != "" {
		return newError(reason, line)
	}
	return nil
}

// isToken reports whether a name has only bytes that a token may have, and at least one.
func isToken(name []byte) bool {
	for _, b := range name {
		if !isTokenByte[b] {
			return false
		}
	}
	return len(name) > 0
}

// isTokenByte tells which bytes a token may have.
var isTokenByte = tokenBytes("!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ")

func tokenBytes(bytes string) (out [256]bool) {
	for i := range len(bytes) {
		out[bytes[i]] = true
	}
	return out
}

// endHead checks a head as a whole. An interim one is followed by another.
func (c *Checker) endHead() error {
	if reason := c.head.check(); reason != "" {
		return newError(reason, []byte("status "+strconv.Itoa(c.head.status)))
	}
	if c.head.status < http.StatusOK {
		c.section = statusLine
		return nil
	}
	c.section = content
	if c.checksBody {
		c.body = newBody(c.method, c.head)
	}
	return nil
}
