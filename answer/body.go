package answer

import (
	"bytes"
	"net/http"
	"strconv"
)

// bodyPart is a part of a body.
type bodyPart int

const (
	// unbounded is a body that ends with its connection, or that is not checked.
	unbounded bodyPart = iota
	// sized is a body with a length.
	sized
	// chunkSize is the line before the data of a chunk, and chunkData is that data with its line ending.
	chunkSize
	chunkData
	// trailer are the lines after the last chunk, up to the empty one.
	trailer
	// ended is what follows the body.
	ended
)

// chunkEndBytes is the length of the line ending after the data of a chunk.
const chunkEndBytes = 2

// body follows the body of a response to its end. The zero value is an unbounded one.
type body struct {
	part bodyPart
	// left is the number of bytes left in a sized body, or in the data of a chunk.
	left  int64
	lines lines
}

// newBody returns the body that a final head declares in response to a request with a method.
func newBody(method string, h head) body {
	switch {
	case method == http.MethodHead || h.status == http.StatusNoContent || h.status == http.StatusNotModified:
		return body{part: ended}
	case h.hasCoding:
		return body{part: chunkSize}
	case h.hasLength && h.length == 0:
		return body{part: ended}
	case h.hasLength:
		return body{part: sized, left: h.length}
	}
	return body{part: unbounded}
}

// check follows the next bytes, at least one. It returns how many of them belong to the response, and a
// *MalformedError if these are not all.
func (b *body) check(p []byte) (int, error) {
	checked := 0
	for checked < len(p) {
		n, err := b.checkPart(p[checked:])
		if err != nil {
			return checked, err
		}
		checked += n
	}
	return checked, nil
}

// checkPart follows the bytes that belong to the present part. It returns their number.
func (b *body) checkPart(p []byte) (int, error) {
	switch b.part {
	case sized, chunkData:
		return b.takeData(p), nil
	case chunkSize, trailer:
		line, n, whole := b.lines.next(p)
		if !whole {
			return n, nil
		}
		return n, b.checkLine(line)
	case ended:
		return 0, newError(BytesAfterEnd, p)
	}
	return len(p), nil
}

// takeData returns how many bytes belong to a sized body or to the data of a chunk.
func (b *body) takeData(p []byte) int {
	n := int(min(b.left, int64(len(p))))
	b.left -= int64(n)
	if b.left > 0 {
		return n
	}
	if b.part == sized {
		b.part = ended
	} else {
		b.part = chunkSize
	}
	return n
}

// checkLine checks the line before a chunk, or one of the trailer. What a trailer says is not believed.
func (b *body) checkLine(line []byte) error {
	if b.part == trailer {
		if len(line) == 0 {
			b.part = ended
		}
		return nil
	}
	size, err := parseChunkSize(line)
	if err != nil {
		return err
	}
	if size == 0 {
		b.part = trailer
		return nil
	}
	b.part, b.left = chunkData, size+chunkEndBytes
	return nil
}

// parseChunkSize returns the size of a chunk, which an extension may follow.
func parseChunkSize(line []byte) (int64, error) {
	digits, _, _ := bytes.Cut(line, []byte(";"))
	const bits = 62 // leaves room for the line ending
	size, err := strconv.ParseUint(string(bytes.TrimRight(digits, " \t")), 16, bits)
	if err != nil {
		return 0, newError(BadChunkSize, line)
	}
	return int64(size), nil
}
